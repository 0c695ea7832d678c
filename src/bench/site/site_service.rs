use super::incarnation_switch::{IncarnationSwitch, RestartAddress};
use super::site_arrivals::{LimitAnnouncement, SiteArrivals};
use super::site_http::{
    BrokenOff, SiteAnswer, SiteHandler, WholeRequest, crash_server, header, is_crashing,
    restart_site, serve_site, signed, whole,
};
use super::site_run::CallerRecord;
use crate::Result;
use crate::host::lock;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// What a stand-in server of a plain service does wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ServiceFault {
    /// Nothing.
    #[default]
    None,
    /// It turns requests away, unrun.
    Full,
    /// It runs requests and answers 500.
    FailRuns,
    /// It runs requests and breaks off.
    LoseAnswers,
    /// It answers with the id of another request.
    ForeignAnswer,
    /// It answers without its signature.
    Unsigned,
    /// It works on each request for this long.
    Slow(Duration),
    /// It answers nothing.
    Silent,
}

/// A stand-in for one server of a plain service.
#[derive(Debug)]
pub struct SiteService {
    /// Its id, the same in all of its lives.
    pub id: String,
    lives: IncarnationSwitch,
    /// What arrives, and what it says of its limit; a new life of it says nothing.
    pub arrivals: SiteArrivals,
    fault: Mutex<ServiceFault>,
    runs: Mutex<Vec<CallerRecord>>,
}

impl SiteService {
    /// A server without faults.
    pub fn new(id: &str) -> Self {
        Self {
            id: id.to_owned(),
            lives: IncarnationSwitch::default(),
            arrivals: SiteArrivals::default(),
            fault: Mutex::default(),
            runs: Mutex::default(),
        }
    }

    /// Serves it on a free port.
    ///
    /// # Errors
    /// If no port can be bound.
    pub async fn serve(self: &Arc<Self>) -> Result<SocketAddr> {
        serve_site(Arc::clone(self)).await
    }

    /// Starts the server again under its id: its connections break. Returns where it listens.
    ///
    /// # Errors
    /// If no port can be bound.
    pub async fn restart(self: &Arc<Self>, born: u64, place: RestartAddress) -> Result<SocketAddr> {
        let address = restart_site(self, born, place).await?;
        self.set_fault(ServiceFault::None);
        self.arrivals.set(LimitAnnouncement::default());
        Ok(address)
    }

    /// When its present life began, if it says so.
    pub fn started_at(&self) -> Option<u64> {
        self.lives.current().born
    }

    pub(super) fn incarnation_switch(&self) -> &IncarnationSwitch {
        &self.lives
    }

    /// Switches a fault on, or all off.
    pub fn set_fault(&self, fault: ServiceFault) {
        *lock(&self.fault) = fault;
    }

    /// Ids of the requests that it ran, oldest first.
    pub fn runs(&self) -> Vec<String> {
        lock(&self.runs).iter().map(|caller| caller.request.clone()).collect()
    }

    /// What it was told of their callers.
    pub fn callers(&self) -> Vec<CallerRecord> {
        lock(&self.runs).clone()
    }
}

impl SiteHandler for SiteService {
    fn lives(&self) -> Option<&IncarnationSwitch> {
        Some(&self.lives)
    }

    async fn answer(self: Arc<Self>, request: WholeRequest) -> SiteAnswer {
        self.arrivals.note(&request);
        let answer = Arc::clone(&self).answer_unlimited(request).await;
        self.arrivals.name(answer)
    }
}

impl SiteService {
    async fn answer_unlimited(self: Arc<Self>, request: WholeRequest) -> SiteAnswer {
        let fault = *lock(&self.fault);
        if fault == ServiceFault::Silent {
            std::future::pending::<()>().await;
        }
        if header(&request, "x-expect-instance").is_some_and(|id| id != self.id) {
            return Ok(whole(421, ""));
        }
        let id = header(&request, "x-request-id").unwrap_or_default().to_owned();
        if fault == ServiceFault::Full {
            let mut answer = whole(503, "");
            answer.headers_mut().insert("x-not-run", http::HeaderValue::from_static("1"));
            return Ok(signed(answer, &id, None));
        }
        lock(&self.runs).push(CallerRecord::of(&request, &id));
        if is_crashing(&request) {
            return crash_server(&self.lives, &id).await;
        }
        if let ServiceFault::Slow(time) = fault {
            tokio::time::sleep(time).await;
        }
        let body = format!("{} {id}", request.uri());
        match fault {
            ServiceFault::LoseAnswers => Err(BrokenOff),
            ServiceFault::FailRuns => Ok(signed(whole(500, body), &id, Some(&self.id))),
            ServiceFault::ForeignAnswer => Ok(signed(whole(200, body), "another", Some(&self.id))),
            ServiceFault::Unsigned => Ok(signed(whole(200, body), &id, None)),
            _ => Ok(signed(whole(200, body), &id, Some(&self.id))),
        }
    }
}
