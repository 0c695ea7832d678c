use super::incarnation_switch::{IncarnationSwitch, RestartAddress};
use super::site_arrivals::{LimitAnnouncement, SiteArrivals};
use super::site_http::{
    BufferedRequest, ConnectionDropped, SiteAnswer, SiteHandler, crash_server, full_response,
    header, is_crash_request, restart_site, serve_site, signed,
};
use super::site_run::CallerRecord;
use super::stall_gate::StallGate;
use crate::Result;
use crate::host::lock;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A fault of a stand-in server of a plain service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ServiceFault {
    /// No fault.
    #[default]
    None,
    /// Rejects requests without running them.
    Full,
    /// Runs requests and responds 500.
    FailRuns,
    /// Runs requests and drops the connection instead of responding.
    LoseAnswers,
    /// Responds with the id of another request.
    ForeignAnswer,
    /// Responds without the server stamp.
    Unsigned,
    /// Takes this long for each request.
    Slow(Duration),
    /// Never responds.
    Silent,
}

/// A stand-in for a server of a plain service.
#[derive(Debug)]
pub struct SiteService {
    /// The server's id, the same in all incarnations.
    pub id: String,
    incarnations: IncarnationSwitch,
    /// Arrived requests and the announced limit; a new incarnation announces none.
    pub arrivals: SiteArrivals,
    /// Holds up all that the server does.
    pub stall_gate: StallGate,
    fault: Mutex<ServiceFault>,
    runs: Mutex<Vec<CallerRecord>>,
}

impl SiteService {
    /// A server without faults.
    pub fn new(id: &str) -> Self {
        Self {
            id: id.to_owned(),
            incarnations: IncarnationSwitch::default(),
            arrivals: SiteArrivals::default(),
            stall_gate: StallGate::default(),
            fault: Mutex::default(),
            runs: Mutex::default(),
        }
    }

    /// Serves it on a free port and returns its address.
    ///
    /// # Errors
    /// If no port can be bound.
    pub async fn serve(self: &Arc<Self>) -> Result<SocketAddr> {
        serve_site(Arc::clone(self)).await
    }

    /// Restarts the server under the same id: its connections break. Returns its address.
    ///
    /// # Errors
    /// If no port can be bound.
    pub async fn restart(
        self: &Arc<Self>,
        started_at: u64,
        restart_address: RestartAddress,
    ) -> Result<SocketAddr> {
        let address = restart_site(self, started_at, restart_address).await?;
        self.set_fault(ServiceFault::None);
        self.arrivals.set(LimitAnnouncement::default());
        Ok(address)
    }

    /// Start time of the current incarnation in Unix milliseconds, if it reports one.
    pub fn started_at(&self) -> Option<u64> {
        self.incarnations.current().started_at
    }

    pub(super) fn incarnation_switch(&self) -> &IncarnationSwitch {
        &self.incarnations
    }

    /// Injects a fault, or ends the present one with [`ServiceFault::None`].
    pub fn set_fault(&self, fault: ServiceFault) {
        *lock(&self.fault) = fault;
    }

    /// Ids of the requests that the server ran, oldest first.
    pub fn runs(&self) -> Vec<String> {
        lock(&self.runs).iter().map(|caller| caller.request.clone()).collect()
    }

    /// The callers of the requests that the server ran, oldest first.
    pub fn callers(&self) -> Vec<CallerRecord> {
        lock(&self.runs).clone()
    }
}

impl SiteHandler for SiteService {
    fn incarnations(&self) -> Option<&IncarnationSwitch> {
        Some(&self.incarnations)
    }

    async fn answer(self: Arc<Self>, request: BufferedRequest) -> SiteAnswer {
        self.arrivals.record(&request);
        self.stall_gate.pass().await;
        let answer = Arc::clone(&self).answer_request(request).await;
        self.stall_gate.pass().await;
        self.arrivals.add_limit_headers(answer)
    }
}

impl SiteService {
    async fn answer_request(self: Arc<Self>, request: BufferedRequest) -> SiteAnswer {
        let fault = *lock(&self.fault);
        if fault == ServiceFault::Silent {
            std::future::pending::<()>().await;
        }
        if header(&request, "x-expect-instance").is_some_and(|id| id != self.id) {
            return Ok(full_response(421, ""));
        }
        let id = header(&request, "x-request-id").unwrap_or_default().to_owned();
        if fault == ServiceFault::Full {
            let mut answer = full_response(503, "");
            answer.headers_mut().insert("x-not-run", http::HeaderValue::from_static("1"));
            return Ok(signed(answer, &id, None));
        }
        lock(&self.runs).push(CallerRecord::of(&request, &id));
        if is_crash_request(&request) {
            return crash_server(&self.incarnations, &id).await;
        }
        if let ServiceFault::Slow(duration) = fault {
            tokio::time::sleep(duration).await;
        }
        let body = format!("{} {id}", request.uri());
        match fault {
            ServiceFault::LoseAnswers => Err(ConnectionDropped),
            ServiceFault::FailRuns => Ok(signed(full_response(500, body), &id, Some(&self.id))),
            ServiceFault::ForeignAnswer => {
                Ok(signed(full_response(200, body), "another", Some(&self.id)))
            }
            ServiceFault::Unsigned => Ok(signed(full_response(200, body), &id, None)),
            _ => Ok(signed(full_response(200, body), &id, Some(&self.id))),
        }
    }
}
