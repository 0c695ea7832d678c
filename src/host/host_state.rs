use super::{AttemptStay, ClaimDesk, OwnedServer};
use crate::claims::{OutcomeTable, TicketRegistry};
use crate::engines::EngineClient;
use crate::fleet::ViewFreshness;
use crate::intents::{ActiveConfig, ClusterConfig};
use crate::keys::{AttemptId, HostClock, IncarnationId, NameKey, ServerKey, TimePoint};
use crate::membership::{MemberTable, MemberUpdate};
use crate::orders::OrderPlanner;
use crate::peers::{PeerClient, ViewFetches};
use crate::placement::{ReportTable, RetryBudget};
use crate::platform::StoreClient;
use crate::settings::HostSettings;
use crate::telemetry::{MetricRegistry, SpanBuffer, SpanRecord, TraceParent};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Everything that one daemon knows; the edges call its methods.
#[derive(Debug)]
pub struct HostState {
    /// Its settings.
    pub settings: HostSettings,
    /// This life of it.
    pub incarnation: IncarnationId,
    clock: HostClock,
    serials: AtomicU64,
    pub(super) config: Mutex<ActiveConfig>,
    pub(super) members: Mutex<MemberTable>,
    pub(super) owned: Mutex<HashMap<ServerKey, OwnedServer>>,
    pub(super) attempts: Mutex<HashMap<AttemptId, AttemptStay>>,
    pub(super) reports: Mutex<ReportTable>,
    pub(super) retries: Mutex<RetryBudget>,
    pub(super) desk: Mutex<OrderPlanner>,
    pub(super) outcomes: Mutex<OutcomeTable>,
    pub(super) tickets: Mutex<TicketRegistry>,
    pub(super) claims: ClaimDesk,
    pub(super) metrics: Mutex<MetricRegistry>,
    pub(super) traces: Mutex<SpanBuffer>,
    pub(super) peers: PeerClient,
    pub(super) engines: EngineClient,
    pub(super) store: StoreClient,
    pub(super) draining: AtomicBool,
    pub(super) in_flight: AtomicU64,
    pub(super) config_fetches: Mutex<ViewFetches>,
    pub(super) config_freshness: Mutex<ViewFreshness>,
    pub(super) terms: AtomicU64,
    /// Where tasks run, also when an operator's thread asks for them.
    pub(super) runtime: tokio::runtime::Handle,
    pub(super) outbox: tokio::sync::mpsc::UnboundedSender<(SocketAddr, Vec<u8>)>,
}

impl HostState {
    /// The state of a daemon that starts now, whose peers reach it at `peers_address`.
    ///
    /// # Panics
    /// Outside a tokio runtime.
    pub fn new(
        settings: HostSettings,
        peers_address: SocketAddr,
        outbox: tokio::sync::mpsc::UnboundedSender<(SocketAddr, Vec<u8>)>,
    ) -> Self {
        let incarnation = IncarnationId::at_start(SystemTime::now(), rand::random());
        let domain = NameKey::of(&settings.domain);
        let own = MemberUpdate::started(incarnation, peers_address, domain);
        let seeds = settings.seeds.iter().copied().filter(|seed| *seed != peers_address).collect();
        Self {
            incarnation,
            clock: HostClock::start(),
            serials: AtomicU64::new(1),
            config: Mutex::default(),
            members: Mutex::new(MemberTable::new(own, seeds, rand::random())),
            owned: Mutex::default(),
            attempts: Mutex::default(),
            reports: Mutex::default(),
            retries: Mutex::default(),
            desk: Mutex::default(),
            outcomes: Mutex::default(),
            tickets: Mutex::default(),
            claims: ClaimDesk::default(),
            metrics: Mutex::default(),
            traces: Mutex::default(),
            peers: PeerClient::new(&settings.shared_key),
            engines: EngineClient::default(),
            store: StoreClient::new(settings.platform),
            draining: AtomicBool::new(false),
            in_flight: AtomicU64::new(0),
            config_fetches: Mutex::default(),
            config_freshness: Mutex::default(),
            terms: AtomicU64::new(1),
            runtime: tokio::runtime::Handle::current(),
            outbox,
            settings,
        }
    }

    /// The present time on this host's own clock.
    pub fn now(&self) -> TimePoint {
        self.clock.now()
    }

    /// Seconds since 1970.
    pub fn now_seconds() -> u64 {
        SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs()
    }

    /// A new attempt of this incarnation.
    pub fn new_attempt(&self) -> AttemptId {
        AttemptId { owner: self.incarnation, serial: self.serials.fetch_add(1, Ordering::Relaxed) }
    }

    /// The configuration in force.
    pub fn config(&self) -> Arc<ClusterConfig> {
        lock(&self.config).current()
    }

    /// Whether it serves: it has a confirmed configuration and does not drain.
    pub fn is_ready(&self) -> bool {
        self.config().version > 0 && !self.is_draining()
    }

    /// Whether a planned stop is under way.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Metrics, for one short change.
    pub fn metrics(&self) -> MutexGuard<'_, MetricRegistry> {
        lock(&self.metrics)
    }

    /// The key of this host's failure domain.
    pub fn domain(&self) -> NameKey {
        NameKey::of(&self.settings.domain)
    }

    /// Records a span that began at `began` and ends now.
    pub fn note_span(&self, parent: TraceParent, name: &str, began: TimePoint, detail: String) {
        let took = self.now().since(began);
        let ended = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let record = SpanRecord {
            trace: parent.trace,
            span: parent.child().span,
            parent: parent.span,
            host: self.settings.host.clone(),
            name: name.to_owned(),
            start_micros: micros(ended.saturating_sub(took)),
            took_micros: micros(took),
            detail,
        };
        lock(&self.traces).record(record);
    }
}

/// Whole microseconds.
pub(super) fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// Locks even if a holder panicked: every machine checks its own invariants.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
