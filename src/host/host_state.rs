use super::{AttemptState, ClaimBatcher, OwnedServer};
use crate::claims::{OutcomeTable, TicketRegistry};
use crate::engines::EngineClient;
use crate::fleet::ViewFreshness;
use crate::held_bytes::ByteBudget;
use crate::intents::{ActiveConfig, ClusterConfig};
use crate::keys::{AttemptId, HostClock, IncarnationId, NameKey, ServerKey, TimePoint};
use crate::membership::{MemberTable, MemberUpdate};
use crate::open_connections::ConnectionRoom;
use crate::orders::OrderPlanner;
use crate::peers::{PeerClient, ViewFetches};
use crate::placement::{ReportTable, RetryBudget};
use crate::platform::StoreClient;
use crate::resource_plan::ResourcePlan;
use crate::settings::HostSettings;
use crate::telemetry::{MetricRegistry, SpanBuffer, SpanRecord, TraceParent};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// State of one daemon, shared by its tasks and network servers.
#[derive(Debug)]
pub struct HostState {
    /// Settings of the daemon.
    pub settings: HostSettings,
    /// Incarnation of this host: a new one with every start.
    pub incarnation: IncarnationId,
    clock: HostClock,
    /// Callers' connections.
    pub callers: Arc<ConnectionRoom>,
    /// Connections of other hosts that have not proved that they know the key.
    pub unproven: Arc<ConnectionRoom>,
    /// The budget of the bodies of callers' requests.
    pub request_bodies: ByteBudget,
    next_serial: AtomicU64,
    pub(super) config: Mutex<ActiveConfig>,
    pub(super) members: Mutex<MemberTable>,
    pub(super) owned: Mutex<HashMap<ServerKey, OwnedServer>>,
    pub(super) attempts: Mutex<HashMap<AttemptId, AttemptState>>,
    pub(super) reports: Mutex<ReportTable>,
    pub(super) retry_budget: Mutex<RetryBudget>,
    pub(super) order_planner: Mutex<OrderPlanner>,
    pub(super) outcomes: Mutex<OutcomeTable>,
    pub(super) tickets: Mutex<TicketRegistry>,
    pub(super) claim_batcher: ClaimBatcher,
    pub(super) metrics: Mutex<MetricRegistry>,
    pub(super) traces: Mutex<SpanBuffer>,
    pub(super) peers: PeerClient,
    pub(super) engines: EngineClient,
    pub(super) store: StoreClient,
    /// Whether this host has met another one, or none of its seeds answered.
    pub(super) has_joined: AtomicBool,
    /// Whether this host has acquired the ledgers that it owned when it joined.
    pub(super) has_ledgers: AtomicBool,
    pub(super) draining: AtomicBool,
    pub(super) in_flight: AtomicU64,
    pub(super) config_fetches: Mutex<ViewFetches>,
    pub(super) config_freshness: Mutex<ViewFreshness>,
    pub(super) next_term: AtomicU64,
    /// Runtime of all tasks, needed to start them from an operator's thread outside it.
    pub(super) runtime: tokio::runtime::Handle,
    pub(super) outbox: tokio::sync::mpsc::UnboundedSender<(SocketAddr, Vec<u8>)>,
}

impl HostState {
    /// Creates the state of a starting daemon whose peers reach it at `peers_address`.
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
        let plan = ResourcePlan::new(&settings.machine);
        Self {
            incarnation,
            clock: HostClock::start(),
            callers: Arc::new(ConnectionRoom::new("callers", plan.callers)),
            unproven: Arc::new(ConnectionRoom::new("peers", plan.unproven)),
            request_bodies: ByteBudget::new(plan.request_bytes),
            next_serial: AtomicU64::new(1),
            config: Mutex::default(),
            members: Mutex::new(MemberTable::new(own, seeds, rand::random())),
            owned: Mutex::default(),
            attempts: Mutex::default(),
            reports: Mutex::default(),
            retry_budget: Mutex::default(),
            order_planner: Mutex::default(),
            outcomes: Mutex::default(),
            tickets: Mutex::default(),
            claim_batcher: ClaimBatcher::default(),
            metrics: Mutex::default(),
            traces: Mutex::default(),
            peers: PeerClient::new(&settings.shared_key),
            engines: EngineClient::bounded(plan.answer_bytes),
            store: StoreClient::bounded(settings.platform, plan.store_bytes),
            has_joined: AtomicBool::new(false),
            has_ledgers: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            in_flight: AtomicU64::new(0),
            config_fetches: Mutex::default(),
            config_freshness: Mutex::default(),
            next_term: AtomicU64::new(1),
            runtime: tokio::runtime::Handle::current(),
            outbox,
            settings,
        }
    }

    /// The budget of the answers of engines and plain servers that this host holds.
    pub fn answer_bytes(&self) -> &ByteBudget {
        self.engines.answers()
    }

    /// Current time on this host's monotonic clock.
    pub fn now(&self) -> TimePoint {
        self.clock.now()
    }

    /// Seconds since the Unix epoch.
    pub fn now_seconds() -> u64 {
        SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs()
    }

    /// Creates the id of a new attempt of this incarnation.
    pub fn new_attempt(&self) -> AttemptId {
        AttemptId {
            owner: self.incarnation,
            serial: self.next_serial.fetch_add(1, Ordering::Relaxed),
        }
    }

    /// Configuration in force.
    pub fn config(&self) -> Arc<ClusterConfig> {
        lock(&self.config).current()
    }

    /// Whether the host serves requests: it has a confirmed configuration and its ledgers, and is not draining. Without
    /// the ledgers, it would refuse requests for the servers that it owns.
    pub fn is_ready(&self) -> bool {
        self.config().version > 0 && self.has_ledgers.load(Ordering::Relaxed) && !self.is_draining()
    }

    /// Whether a planned shutdown is in progress.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Locks the metrics; hold the guard only briefly.
    pub fn metrics(&self) -> MutexGuard<'_, MetricRegistry> {
        lock(&self.metrics)
    }

    /// Key of this host's failure domain.
    pub fn domain(&self) -> NameKey {
        NameKey::of(&self.settings.domain)
    }

    /// Records a span that started at `started_at` and ends now.
    pub fn record_span(
        &self,
        parent: TraceParent,
        name: &str,
        started_at: TimePoint,
        detail: String,
    ) {
        let took = self.now().since(started_at);
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

/// Converts to whole microseconds.
pub(super) fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// Locks a mutex even if a holder panicked, since each state machine checks its own invariants.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
