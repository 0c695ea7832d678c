use super::engine_fault::EngineFault;
use super::engine_memory::EngineMemory;
use super::event_feed::EventFeed;
use super::incarnation_switch::{IncarnationSwitch, RestartAddress};
use super::site_arrivals::{LimitAnnouncement, SiteArrivals};
use super::site_http::{
    BrokenOff, SiteAnswer, SiteHandler, WholeRequest, crash_server, header, is_crashing, refusal,
    restart_site, serve_site, signed, whole,
};
use super::site_run::SiteRun;
use crate::Result;
use crate::host::lock;
use http_body_util::{BodyExt, StreamBody};
use serde_json::json;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::mpsc;

/// A stand-in for a model engine.
#[derive(Debug)]
pub struct SiteEngine {
    /// Its id, the same in all of its lives.
    pub id: String,
    lives: IncarnationSwitch,
    /// What arrives, and what it says of its limit; a new life of it says nothing.
    pub arrivals: SiteArrivals,
    pub(super) stage: Mutex<String>,
    pub(super) events: u64,
    pub(super) pause: Duration,
    fault: Mutex<EngineFault>,
    pub(super) runs: Mutex<Vec<SiteRun>>,
    pub(super) memory: Mutex<EngineMemory>,
    serials: AtomicU64,
    rejected_count: AtomicU64,
    pub(super) reports: AtomicU64,
    /// Prefill engines of the site, by address, from which results are fetched.
    sources: Mutex<HashMap<String, Arc<SiteEngine>>>,
}

impl SiteEngine {
    /// An engine whose answers have `events` events, one each `pause`.
    pub fn new(id: &str, stage: &str, events: u64, pause: Duration) -> Self {
        Self {
            id: id.to_owned(),
            lives: IncarnationSwitch::default(),
            arrivals: SiteArrivals::default(),
            stage: Mutex::new(stage.to_owned()),
            events,
            pause,
            fault: Mutex::default(),
            runs: Mutex::default(),
            memory: Mutex::default(),
            serials: AtomicU64::new(1),
            rejected_count: AtomicU64::new(0),
            reports: AtomicU64::new(0),
            sources: Mutex::default(),
        }
    }

    /// Serves the engine on a free port.
    ///
    /// # Errors
    /// If no port can be bound.
    pub async fn serve(self: &Arc<Self>) -> Result<SocketAddr> {
        serve_site(Arc::clone(self)).await
    }

    /// Starts the engine again under its id: its connections break, and it holds, knows and counts
    /// nothing of before. Returns where it listens.
    ///
    /// # Errors
    /// If no port can be bound.
    pub async fn restart(self: &Arc<Self>, born: u64, place: RestartAddress) -> Result<SocketAddr> {
        let address = restart_site(self, born, place).await?;
        lock(&self.memory).restart();
        self.set_fault(EngineFault::None);
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

    /// Names an engine from which results can be fetched.
    pub fn add_source(&self, address: SocketAddr, engine: &Arc<Self>) {
        lock(&self.sources).insert(address.to_string(), Arc::clone(engine));
    }

    /// Switches a fault on, or all off.
    pub fn set_fault(&self, fault: EngineFault) {
        *lock(&self.fault) = fault;
    }

    /// Its part.
    pub fn stage(&self) -> String {
        lock(&self.stage).clone()
    }

    /// What it worked on, oldest first.
    pub fn runs(&self) -> Vec<SiteRun> {
        lock(&self.runs).clone()
    }

    /// Holds that were granted and neither used nor given back, and have not lapsed.
    pub fn open_holds(&self) -> usize {
        lock(&self.memory).open_holds()
    }

    /// Results of prefills that were neither fetched nor given back, and have not lapsed.
    pub fn open_handles(&self) -> usize {
        lock(&self.memory).open_handles()
    }

    /// Reads and runs that it turned away while it changed its stage.
    pub fn rejected_count(&self) -> u64 {
        self.rejected_count.load(Ordering::Relaxed)
    }

    /// Times that it was asked for its report, over all of its lives.
    pub fn reports(&self) -> u64 {
        self.reports.load(Ordering::Relaxed)
    }

    /// Orders that it took in all of its lives: who gave them, under which fence.
    pub fn orders(&self) -> Vec<(String, u64)> {
        lock(&self.memory).all_orders()
    }

    pub(super) fn fault(&self) -> EngineFault {
        *lock(&self.fault)
    }

    fn serial(&self) -> String {
        format!("{}-{}", self.id, self.serials.fetch_add(1, Ordering::Relaxed))
    }

    fn take_hold(&self) -> SiteAnswer {
        if self.fault() == EngineFault::Full {
            return Ok(whole(503, "{}"));
        }
        let hold = self.serial();
        lock(&self.memory).add_hold(&hold);
        Ok(whole(200, json!({"hold": hold}).to_string()))
    }

    fn prefill(&self, request: &WholeRequest, id: &str) -> SiteAnswer {
        self.note_run(request, id, "prefill");
        if self.fault() == EngineFault::LoseReads {
            return Err(BrokenOff);
        }
        let handle = self.serial();
        lock(&self.memory).add_handle(&handle, id);
        let body = json!({"kv_handle": handle, "tokens": 100, "version": 1}).to_string();
        Ok(signed(whole(200, body), id, None))
    }

    fn note_run(&self, request: &WholeRequest, id: &str, stage: &str) -> usize {
        let mut runs = lock(&self.runs);
        runs.push(SiteRun::of(request, id, stage));
        runs.len() - 1
    }

    /// Fetches the result of a prefill and tells whose prompt it is; `None` if it is gone. As on the
    /// users' platform, nobody checks whose result it should be.
    fn fetch(&self, source: &str) -> Option<String> {
        if self.fault() == EngineFault::LoseHandles {
            return None;
        }
        let (address, handle) = source.split_once('/')?;
        let engine = lock(&self.sources).get(address).cloned()?;
        lock(&engine.memory).take_handle(handle)
    }

    async fn decode(self: &Arc<Self>, request: &WholeRequest, id: &str) -> SiteAnswer {
        let hold = header(request, "hold");
        let held = hold.is_some_and(|hold| lock(&self.memory).drop_hold(hold));
        let prompt = match header(request, "kv-from") {
            None => id.to_owned(),
            Some(source) => match self.fetch(source) {
                Some(owner) => owner,
                None => return Ok(refusal(id)),
            },
        };
        let place = self.note_run(request, id, "decode");
        lock(&self.runs)[place].held = held;
        if is_crashing(request) {
            return crash_server(&self.lives, id).await;
        }
        if self.fault() == EngineFault::FailRuns {
            return Ok(signed(whole(500, "failed"), id, Some(&self.id)));
        }
        let first = header(request, "last-event-id")
            .and_then(|text| text.parse().ok())
            .map_or(0, |n: u64| n + 1);
        let (events, received) = mpsc::channel(1);
        tokio::spawn(Arc::clone(self).make_events(prompt, first, place, events));
        let stream = StreamBody::new(EventFeed(received)).boxed_unsync();
        let answered = if self.fault() == EngineFault::ForeignAnswer { "another" } else { id };
        Ok(signed(hyper::Response::new(stream), answered, Some(&self.id)))
    }
}

impl SiteHandler for SiteEngine {
    fn lives(&self) -> Option<&IncarnationSwitch> {
        Some(&self.lives)
    }

    async fn answer(self: Arc<Self>, request: WholeRequest) -> SiteAnswer {
        self.arrivals.note(&request);
        let answer = Arc::clone(&self).answer_unlimited(request).await;
        self.arrivals.name(answer)
    }
}

impl SiteEngine {
    async fn answer_unlimited(self: Arc<Self>, request: WholeRequest) -> SiteAnswer {
        if self.fault() == EngineFault::Silent {
            std::future::pending::<()>().await;
        }
        if header(&request, "x-expect-instance").is_some_and(|id| id != self.id) {
            return Ok(whole(421, ""));
        }
        let path = request.uri().path().to_owned();
        if path == "/tealcleat/hold-take" {
            return self.take_hold();
        }
        if let Some(hold) = path.strip_prefix("/tealcleat/hold-drop/") {
            lock(&self.memory).drop_hold(hold);
            return Ok(whole(200, "{}"));
        }
        if let Some(handle) = path.strip_prefix("/tealcleat/kv-handle/") {
            lock(&self.memory).take_handle(handle);
            return Ok(whole(200, "{}"));
        }
        if path == "/tealcleat/order" {
            return self.order(&request);
        }
        if path == "/tealcleat/report" {
            return self.report();
        }
        let Some(id) = header(&request, "x-request-id").map(str::to_owned) else {
            return Ok(whole(400, ""));
        };
        let asked = header(&request, "x-stage").unwrap_or("decode");
        if asked != self.stage() {
            return Ok(signed(whole(421, ""), &id, None));
        }
        if self.fault() == EngineFault::Changing {
            self.rejected_count.fetch_add(1, Ordering::Relaxed);
            return Ok(refusal(&id));
        }
        match asked {
            "prefill" => self.prefill(&request, &id),
            _ => self.decode(&request, &id).await,
        }
    }
}
