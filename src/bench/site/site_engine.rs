use super::engine_fault::EngineFault;
use super::engine_software::EngineSoftware;
use super::incarnation_switch::{IncarnationSwitch, RestartAddress};
use super::site_arrivals::{LimitAnnouncement, SiteArrivals};
use super::site_http::{restart_site, serve_site};
use super::site_run::SiteRun;
use super::stall_gate::StallGate;
use super::volatile_state::{AcceptedOrder, VolatileState};
use crate::Result;
use crate::host::lock;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A stand-in for a model engine.
#[derive(Debug)]
pub struct SiteEngine {
    /// The engine's id, the same in all incarnations.
    pub id: String,
    pub(super) incarnations: IncarnationSwitch,
    software: Mutex<EngineSoftware>,
    /// Arrived requests and the announced limit; a new incarnation announces none.
    pub arrivals: SiteArrivals,
    /// Holds up all that the engine does.
    pub stall_gate: StallGate,
    pub(super) stage: Mutex<String>,
    pub(super) events: u64,
    event_interval: Mutex<Duration>,
    fault: Mutex<EngineFault>,
    pub(super) runs: Mutex<Vec<SiteRun>>,
    /// Tokens that each hold request named.
    pub(super) hold_tokens: Mutex<Vec<u64>>,
    pub(super) state: Mutex<VolatileState>,
    pub(super) next_serial: AtomicU64,
    pub(super) rejected_count: AtomicU64,
    pub(super) unanswered_count: AtomicU64,
    pub(super) reports: AtomicU64,
    /// Prefill engines from which results can be fetched, by address.
    pub(super) sources: Mutex<HashMap<String, Arc<SiteEngine>>>,
}

impl SiteEngine {
    /// An engine whose responses consist of `events` events, one every `event_interval`.
    pub fn new(id: &str, stage: &str, events: u64, event_interval: Duration) -> Self {
        Self {
            id: id.to_owned(),
            incarnations: IncarnationSwitch::default(),
            software: Mutex::new(EngineSoftware::first(id)),
            arrivals: SiteArrivals::default(),
            stall_gate: StallGate::default(),
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

    /// Orders that all incarnations accepted, oldest first.
    pub fn orders(&self) -> Vec<AcceptedOrder> {
        lock(&self.state).all_orders()
    }

    pub(super) fn fault(&self) -> EngineFault {
        *lock(&self.fault)
    }

    /// Whether the engine rejects the next prefill or decode request.
    pub(super) fn rejects_next(&self) -> bool {
        match self.fault() {
            EngineFault::Changing => true,
            EngineFault::Shed { tenths } => {
                self.next_serial.fetch_add(1, Ordering::Relaxed) % 10 < tenths
            }
            _ => false,
        }
    }

    pub(super) fn next_id(&self) -> String {
        format!("{}-{}", self.id, self.next_serial.fetch_add(1, Ordering::Relaxed))
    }
}
