use super::engine_events::EventText;
use super::engine_fault::EngineFault;
use super::engine_software::EngineSoftware;
use super::event_feed::EventFeed;
use super::incarnation_switch::{IncarnationSwitch, RestartAddress};
use super::site_arrivals::{LimitAnnouncement, SiteArrivals};
use super::site_http::{
    BufferedRequest, ConnectionDropped, SiteAnswer, SiteHandler, crash_server, full_response,
    has_crash_part, header, is_crash_request, not_run_response, restart_site, serve_site, signed,
};
use super::site_run::SiteRun;
use super::volatile_state::VolatileState;
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
    /// The engine's id, the same in all incarnations.
    pub id: String,
    incarnations: IncarnationSwitch,
    software: Mutex<EngineSoftware>,
    /// Arrived requests and the announced limit; a new incarnation announces none.
    pub arrivals: SiteArrivals,
    pub(super) stage: Mutex<String>,
    pub(super) events: u64,
    event_interval: Mutex<Duration>,
    fault: Mutex<EngineFault>,
    pub(super) runs: Mutex<Vec<SiteRun>>,
    /// Tokens that each hold request named.
    hold_tokens: Mutex<Vec<u64>>,
    pub(super) state: Mutex<VolatileState>,
    next_serial: AtomicU64,
    rejected_count: AtomicU64,
    unanswered_count: AtomicU64,
    pub(super) reports: AtomicU64,
    /// Prefill engines from which results can be fetched, by address.
    sources: Mutex<HashMap<String, Arc<SiteEngine>>>,
}

impl SiteEngine {
    /// An engine whose responses consist of `events` events, one every `event_interval`.
    pub fn new(id: &str, stage: &str, events: u64, event_interval: Duration) -> Self {
        Self {
            id: id.to_owned(),
            incarnations: IncarnationSwitch::default(),
            software: Mutex::new(EngineSoftware::first(id)),
            arrivals: SiteArrivals::default(),
            stage: Mutex::new(stage.to_owned()),
            events,
            event_interval: Mutex::new(event_interval),
            fault: Mutex::default(),
            runs: Mutex::default(),
            hold_tokens: Mutex::default(),
            state: Mutex::default(),
            next_serial: AtomicU64::new(1),
            rejected_count: AtomicU64::new(0),
            unanswered_count: AtomicU64::new(0),
            reports: AtomicU64::new(0),
            sources: Mutex::default(),
        }
    }

    /// Serves the engine on a free port and returns its address.
    ///
    /// # Errors
    /// If no port can be bound.
    pub async fn serve(self: &Arc<Self>) -> Result<SocketAddr> {
        serve_site(Arc::clone(self)).await
    }

    /// Restarts the engine under the same id: its connections break, and its volatile state is cleared.
    /// Returns its address.
    ///
    /// # Errors
    /// If no port can be bound.
    pub async fn restart(
        self: &Arc<Self>,
        started_at: u64,
        restart_address: RestartAddress,
    ) -> Result<SocketAddr> {
        let address = restart_site(self, started_at, restart_address).await?;
        lock(&self.state).restart();
        self.set_fault(EngineFault::None);
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

    /// Replaces the engine's software: from now on it runs as another instance, which its entry in the store names, and
    /// its events tell the version. The caller restarts it and writes the entry.
    pub fn replace_software(&self, version: &str) {
        lock(&self.software).replace(&self.id, version);
    }

    /// The version of its software, and the instance that runs it.
    pub fn software(&self) -> EngineSoftware {
        lock(&self.software).clone()
    }

    /// Whether it has crashed and not been restarted.
    pub fn is_down(&self) -> bool {
        self.incarnations.is_down()
    }

    /// Sets the time between the events of runs that begin from now on.
    pub fn set_event_interval(&self, interval: Duration) {
        *lock(&self.event_interval) = interval;
    }

    pub(in crate::bench) fn event_interval(&self) -> Duration {
        *lock(&self.event_interval)
    }

    /// Adds an engine from which results can be fetched.
    pub fn add_source(&self, address: SocketAddr, engine: &Arc<Self>) {
        lock(&self.sources).insert(address.to_string(), Arc::clone(engine));
    }

    /// Injects a fault, or ends the present one with [`EngineFault::None`].
    pub fn set_fault(&self, fault: EngineFault) {
        *lock(&self.fault) = fault;
    }

    /// The engine's stage: `prefill` or `decode`.
    pub fn stage(&self) -> String {
        lock(&self.stage).clone()
    }

    /// The requests that the engine worked on, oldest first.
    pub fn runs(&self) -> Vec<SiteRun> {
        lock(&self.runs).clone()
    }

    /// The tokens that each hold request named, oldest first.
    pub fn hold_tokens(&self) -> Vec<u64> {
        lock(&self.hold_tokens).clone()
    }

    /// Number of holds that were neither used nor released and have not expired.
    pub fn open_holds(&self) -> usize {
        lock(&self.state).open_holds()
    }

    /// Number of prefill results that were neither fetched nor released and have not expired.
    pub fn open_handles(&self) -> usize {
        lock(&self.state).open_handles()
    }

    /// Number of prefill and decode requests that were rejected.
    pub fn rejected_count(&self) -> u64 {
        self.rejected_count.load(Ordering::Relaxed)
    }

    /// Number of prefill and decode requests that [`EngineFault::Silent`] left without an answer.
    pub fn unanswered_count(&self) -> u64 {
        self.unanswered_count.load(Ordering::Relaxed)
    }

    /// Number of report requests over all incarnations.
    pub fn reports(&self) -> u64 {
        self.reports.load(Ordering::Relaxed)
    }

    /// Orders that all incarnations accepted: the holder and the fence of each.
    pub fn orders(&self) -> Vec<(String, u64)> {
        lock(&self.state).all_orders()
    }

    pub(super) fn fault(&self) -> EngineFault {
        *lock(&self.fault)
    }

    /// Whether the engine rejects the next prefill or decode request.
    fn rejects_next(&self) -> bool {
        match self.fault() {
            EngineFault::Changing => true,
            EngineFault::Shed { tenths } => {
                self.next_serial.fetch_add(1, Ordering::Relaxed) % 10 < tenths
            }
            _ => false,
        }
    }

    fn next_id(&self) -> String {
        format!("{}-{}", self.id, self.next_serial.fetch_add(1, Ordering::Relaxed))
    }

    fn grant_hold(&self, request: &BufferedRequest) -> SiteAnswer {
        let body: serde_json::Value = serde_json::from_slice(request.body()).unwrap_or_default();
        lock(&self.hold_tokens).push(body["tokens"].as_u64().unwrap_or_default());
        if self.fault() == EngineFault::Full {
            return Ok(full_response(503, "{}"));
        }
        let hold = self.next_id();
        lock(&self.state).add_hold(&hold);
        Ok(full_response(200, json!({"hold": hold}).to_string()))
    }

    fn prefill(
        &self,
        request: &BufferedRequest,
        id: &str,
        software: &EngineSoftware,
    ) -> SiteAnswer {
        self.record_run(request, id, "prefill", software);
        self.arrivals.record_read(id);
        if self.fault() == EngineFault::LoseReads {
            return Err(ConnectionDropped);
        }
        let handle = self.next_id();
        lock(&self.state).add_handle(&handle, id);
        let body = json!({"kv_handle": handle, "tokens": 100, "version": 1}).to_string();
        Ok(signed(full_response(200, body), id, None))
    }

    fn record_run(
        &self,
        request: &BufferedRequest,
        id: &str,
        stage: &str,
        software: &EngineSoftware,
    ) -> usize {
        let mut runs = lock(&self.runs);
        runs.push(SiteRun::of(request, id, stage, &software.version));
        runs.len() - 1
    }

    /// Fetches a prefill result and returns the id of its request; `None` if the result is missing. As on the
    /// users' platform, there is no check that the result belongs to the request that fetches it.
    fn fetch(&self, source: &str) -> Option<String> {
        if self.fault() == EngineFault::LoseHandles {
            return None;
        }
        let (address, handle) = source.split_once('/')?;
        let engine = lock(&self.sources).get(address).cloned()?;
        lock(&engine.state).take_handle(handle)
    }

    async fn decode(
        self: &Arc<Self>,
        request: &BufferedRequest,
        id: &str,
        software: &EngineSoftware,
    ) -> SiteAnswer {
        let hold = header(request, "hold");
        let is_held = hold.is_some_and(|hold| lock(&self.state).release_hold(hold));
        let prompt = match header(request, "kv-from") {
            None => id.to_owned(),
            Some(source) => match self.fetch(source) {
                Some(owner) => owner,
                None => return Ok(not_run_response(id)),
            },
        };
        let run_index = self.record_run(request, id, "decode", software);
        lock(&self.runs)[run_index].held = is_held;
        if is_crash_request(request) {
            return crash_server(&self.incarnations, id).await;
        }
        if has_crash_part(request) {
            return self.crash_writing(id, run_index).await;
        }
        if self.fault() == EngineFault::FailRuns {
            return Ok(signed(full_response(500, "failed"), id, Some(&self.id)));
        }
        let first = header(request, "last-event-id")
            .and_then(|text| text.parse().ok())
            .map_or(0, |number: u64| number + 1);
        let (events, received) = mpsc::channel(1);
        let text = EventText { prompt, version_line: software.event_line() };
        tokio::spawn(Arc::clone(self).send_events(text, first, run_index, events));
        let stream = StreamBody::new(EventFeed(received)).boxed_unsync();
        let response_id = if self.fault() == EngineFault::ForeignAnswer { "another" } else { id };
        Ok(signed(hyper::Response::new(stream), response_id, Some(&self.id)))
    }
}

impl SiteEngine {
    /// Crashes as the run at `run_index` begins to write: of two runs one after the head of its answer, before any event.
    async fn crash_writing(self: &Arc<Self>, id: &str, run_index: usize) -> SiteAnswer {
        if run_index.is_multiple_of(2) {
            return crash_server(&self.incarnations, id).await;
        }
        let (events, received) = mpsc::channel(1);
        let (engine, run) = (Arc::clone(self), id.to_owned());
        tokio::spawn(async move {
            drop(crash_server(&engine.incarnations, &run).await);
            // The connection breaks; an end of the events would end the answer properly.
            events.closed().await;
        });
        let stream = StreamBody::new(EventFeed(received)).boxed_unsync();
        Ok(signed(hyper::Response::new(stream), id, Some(&self.id)))
    }
}

impl SiteHandler for SiteEngine {
    fn incarnations(&self) -> Option<&IncarnationSwitch> {
        Some(&self.incarnations)
    }

    async fn answer(self: Arc<Self>, request: BufferedRequest) -> SiteAnswer {
        self.arrivals.record(&request);
        let answer = Arc::clone(&self).answer_request(request).await;
        self.arrivals.add_limit_headers(answer)
    }
}

impl SiteEngine {
    async fn answer_request(self: Arc<Self>, request: BufferedRequest) -> SiteAnswer {
        if self.fault() == EngineFault::Silent {
            if header(&request, "x-request-id").is_some() {
                self.unanswered_count.fetch_add(1, Ordering::Relaxed);
            }
            std::future::pending::<()>().await;
        }
        // What runs from here on belongs to this software, even if it is replaced meanwhile.
        let software = self.software();
        if header(&request, "x-expect-instance").is_some_and(|id| id != software.instance) {
            return Ok(full_response(421, ""));
        }
        let path = request.uri().path().to_owned();
        if path == "/tealcleat/hold-take" {
            return self.grant_hold(&request);
        }
        if let Some(hold) = path.strip_prefix("/tealcleat/hold-drop/") {
            lock(&self.state).release_hold(hold);
            return Ok(full_response(200, "{}"));
        }
        if let Some(handle) = path.strip_prefix("/tealcleat/kv-handle/") {
            lock(&self.state).take_handle(handle);
            return Ok(full_response(200, "{}"));
        }
        if path == "/tealcleat/order" {
            return self.order(&request);
        }
        if path == "/tealcleat/report" {
            return self.report();
        }
        let Some(id) = header(&request, "x-request-id").map(str::to_owned) else {
            return Ok(full_response(400, ""));
        };
        let requested_stage = header(&request, "x-stage").unwrap_or("decode");
        if requested_stage != self.stage() {
            return Ok(signed(full_response(421, ""), &id, None));
        }
        if self.rejects_next() {
            self.rejected_count.fetch_add(1, Ordering::Relaxed);
            return Ok(not_run_response(&id));
        }
        match requested_stage {
            "prefill" => self.prefill(&request, &id, &software),
            _ => self.decode(&request, &id, &software).await,
        }
    }
}
