use super::gateway_state::GatewayState;
use super::host_rooms::HostRooms;
use super::pending_replies::PendingReplies;
use super::stop_phase::StopPhase;
use super::stop_plan::StopPlan;
use super::unreadable_objects::UnreadableObjects;
use super::view_source::ViewSource;
use crate::admission::AdmissionControl;
use crate::engines::HttpPool;
use crate::fleet::{FleetView, RefusedHosts, ServerEntry, StageChanges, ViewFreshness};
use crate::held_bytes::ByteBudget;
use crate::host::lock;
use crate::in_flight::InFlightTable;
use crate::keys::{HostClock, IncarnationId, NameKey, RequestHasher, TimePoint};
use crate::limits::{LimitLedger, LimitMeter, LimitReply, SilentOwners};
use crate::membership::{MemberTable, MemberUpdate};
use crate::memory_forecast::{OutputForecast, PaceTable};
use crate::organisations::{ConfigAge, KeyHasher};
use crate::peers::{PeerClient, ViewFetches};
use crate::placement::{DomainBreakers, GrantHistory, LoadTable, ServerEvent};
use crate::platform::StoreClient;
use crate::quarantine::{CrashTracker, PartTracker, UnconfirmedCrashes};
use crate::resource_plan::ResourcePlan;
use crate::retries::{RetryPools, RetryReply};
use crate::return_times::ReturnCalendar;
use crate::routes::RouteTable;
use crate::server_limits::{PermitReply, SendControl};
use crate::server_slots::{PlaceReply, SlotControl};
use crate::settings::GatewaySettings;
use crate::shared_health::SharedHealth;
use crate::silent_runs::HearingTable;
use crate::stream_origins::{OriginReply, OriginTable, TargetHistory, VersionHistory};
use crate::telemetry::MetricRegistry;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::SystemTime;
use tokio::net::UdpSocket;
use tokio::sync::{Notify, watch};

/// Shared state, clients and sockets of one gateway daemon.
#[derive(Debug)]
pub struct GatewayHost {
    /// Settings at start; bounds that a reload may change are in the state.
    pub settings: GatewaySettings,
    /// Incarnation of this process.
    pub incarnation: IncarnationId,
    clock: HostClock,
    pub(super) next_serial: AtomicU64,
    state: Mutex<GatewayState>,
    metrics: Mutex<MetricRegistry>,
    pub(super) pool: HttpPool,
    /// The connections that others opened.
    pub rooms: HostRooms,
    /// The budget of the bodies of callers' requests.
    pub request_bodies: ByteBudget,
    pub(super) store: StoreClient,
    pub(super) peers: PeerClient,
    pub(super) peers_address: SocketAddr,
    pub(super) socket: Arc<UdpSocket>,
    pub(super) key_hasher: KeyHasher,
    pub(super) request_hasher: RequestHasher,
    /// Wakes requests that wait for a newer age of the configuration.
    pub(super) config_age_updated: Notify,
    pub(super) limit_replies: PendingReplies<LimitReply>,
    pub(super) permit_replies: PendingReplies<PermitReply>,
    pub(super) retry_replies: PendingReplies<RetryReply>,
    pub(super) origin_replies: PendingReplies<OriginReply>,
    /// When the last read of the versions before this host's start failed; locked during a read.
    pub(super) past_versions_failed_at: tokio::sync::Mutex<Option<TimePoint>>,
    pub(super) slot_replies: PendingReplies<PlaceReply>,
    /// Wakes the task that decides on requests waiting for places.
    pub(super) slot_waits: Notify,
    pub(super) gossip_round: AtomicU64,
    pub(super) view_fetches: Mutex<ViewFetches>,
    pub(super) routes_unreachable: AtomicBool,
    pub(super) servers_unreachable: AtomicBool,
    pub(super) stop_sender: watch::Sender<StopPhase>,
    /// When a graceful shutdown began, and its plan.
    pub(super) stop_plan: OnceLock<(TimePoint, StopPlan)>,
    /// What the exit of the process would cut off.
    pub(super) in_flight: Arc<InFlightTable>,
    /// Connections of other hosts that this host forwards.
    pub(super) open_tunnels: AtomicU64,
}

impl GatewayHost {
    /// Creates the host of a daemon whose peers reach it at `peers_address`.
    pub fn new(
        settings: GatewaySettings,
        peers_address: SocketAddr,
        socket: Arc<UdpSocket>,
    ) -> Self {
        let incarnation = IncarnationId::at_start(SystemTime::now(), rand::random());
        let domain = NameKey::of(&settings.domain);
        let own = MemberUpdate::started(incarnation, peers_address, domain);
        let plan = ResourcePlan::new(&settings.machine);
        let seeds = settings.seeds.iter().copied().filter(|seed| *seed != peers_address).collect();
        let state = GatewayState {
            bounds: settings.bounds,
            routes: Arc::default(),
            routes_revision: 0,
            routes_freshness: ViewFreshness::default(),
            config_age: ConfigAge::default(),
            limit_meter: LimitMeter::default(),
            limit_ledger: LimitLedger::default(),
            silent_owners: SilentOwners::default(),
            fleet: FleetView::in_domain(domain),
            servers_freshness: ViewFreshness::default(),
            server_loads: LoadTable::default(),
            grants: GrantHistory::default(),
            server_health: HashMap::new(),
            domain_breakers: DomainBreakers::default(),
            read_rejections: HashMap::new(),
            retries_denied_at: HashMap::new(),
            retry_windows: HashMap::new(),
            retry_pools: RetryPools::default(),
            work_meters: HashMap::new(),
            peer_work: HashMap::new(),
            stage_changes: StageChanges::default(),
            unconfirmed_crashes: UnconfirmedCrashes::default(),
            crashes: CrashTracker::default(),
            part_crashes: PartTracker::default(),
            crashes_revision: None,
            send_control: SendControl::default(),
            store_answered_at: TimePoint::CLOCK_START,
            refused_hosts: RefusedHosts::default(),
            members: MemberTable::new(own, seeds, rand::random()),
            unreadable_objects: UnreadableObjects::default(),
            shared_health: SharedHealth::new(incarnation, domain),
            admission: AdmissionControl::default(),
            return_calendar: ReturnCalendar::default(),
            output_forecast: OutputForecast::default(),
            paces: PaceTable::default(),
            stream_origins: OriginTable::default(),
            version_history: VersionHistory::default(),
            target_history: TargetHistory::default(),
            slot_control: SlotControl::default(),
            hearing: HearingTable::default(),
            pool_silences: HashMap::new(),
        };
        Self {
            incarnation,
            clock: HostClock::start(),
            next_serial: AtomicU64::new(rand::random::<u32>().into()),
            state: Mutex::new(state),
            metrics: Mutex::default(),
            pool: HttpPool::bounded(plan.answer_bytes),
            rooms: HostRooms::new(&plan),
            request_bodies: ByteBudget::new(plan.request_bytes),
            store: StoreClient::bounded(settings.store, plan.store_bytes),
            peers: PeerClient::new(&settings.shared_key),
            peers_address,
            socket,
            key_hasher: KeyHasher::new(&settings.shared_key),
            request_hasher: RequestHasher::new(&settings.shared_key),
            config_age_updated: Notify::new(),
            limit_replies: PendingReplies::default(),
            permit_replies: PendingReplies::default(),
            retry_replies: PendingReplies::default(),
            origin_replies: PendingReplies::default(),
            past_versions_failed_at: tokio::sync::Mutex::default(),
            slot_replies: PendingReplies::default(),
            slot_waits: Notify::new(),
            gossip_round: AtomicU64::new(1),
            view_fetches: Mutex::default(),
            routes_unreachable: AtomicBool::new(false),
            servers_unreachable: AtomicBool::new(false),
            stop_sender: watch::Sender::new(StopPhase::Serving),
            stop_plan: OnceLock::new(),
            in_flight: Arc::default(),
            open_tunnels: AtomicU64::new(0),
            settings,
        }
    }

    /// The current time on this host's own clock.
    pub fn now(&self) -> TimePoint {
        self.clock.now()
    }

    /// Converts `point` to the clock of the async runtime.
    pub(super) fn instant(&self, point: TimePoint) -> tokio::time::Instant {
        tokio::time::Instant::now() + point.since(self.now())
    }

    /// Locks the state, for one short read or change.
    pub fn state(&self) -> MutexGuard<'_, GatewayState> {
        lock(&self.state)
    }

    /// Locks the metrics, for one short change.
    pub fn metrics(&self) -> MutexGuard<'_, MetricRegistry> {
        lock(&self.metrics)
    }

    /// All metrics in the Prometheus text format.
    pub fn metrics_text(&self) -> String {
        self.metrics().prometheus_text() + &self.rooms.prometheus_text()
    }

    /// The configuration in force.
    pub fn routes(&self) -> Arc<RouteTable> {
        Arc::clone(&self.state().routes)
    }

    /// The budget of the servers' answers that this host holds.
    pub fn answer_bytes(&self) -> &ByteBudget {
        self.pool.answers()
    }

    /// The key of this host's failure domain.
    pub fn domain(&self) -> NameKey {
        NameKey::of(&self.settings.domain)
    }

    /// The current phase of a graceful shutdown.
    pub fn stop_phase(&self) -> StopPhase {
        *self.stop_sender.borrow()
    }

    /// Waits until a graceful shutdown has reached `phase`.
    pub(super) async fn wait_for_phase(&self, phase: StopPhase) {
        let mut phases = self.stop_sender.subscribe();
        // The sender exists as long as this host, so that the wait ends only when the phase is reached.
        drop(phases.wait_for(|reached| *reached >= phase).await);
    }

    /// Applies changed settings, as far as that is possible without a restart.
    pub fn reload(&self, newer: &GatewaySettings) {
        let needing_restart = self.settings.changes_needing_restart(newer).join(",");
        let own = self.peers_address;
        let seeds = newer.seeds.iter().copied().filter(|seed| *seed != own).collect();
        {
            let mut state = self.state();
            state.bounds = newer.bounds;
            state.members.set_seeds(seeds);
        }
        log::set_max_level(newer.log_level);
        let outcome = if needing_restart.is_empty() { "in_force" } else { "restart_needed" };
        log::info!("event=settings_reloaded outcome={outcome} unchanged=\"{needing_restart}\"");
    }

    /// Whether the platform may route callers to this host. A host that cannot tell which keys are still
    /// valid would refuse them all, and is not ready.
    pub fn is_ready(&self) -> bool {
        let now = self.now();
        let state = self.state();
        let has_view = state.routes.version() > 0 && state.fleet.revision() > 0;
        let is_config_valid = !state.is_config_too_old(now);
        has_view && is_config_valid && self.stop_phase() == StopPhase::Serving
    }

    /// Adopts a configuration if it is newer than the one in force; returns whether it is.
    pub(super) fn adopt_routes(
        &self,
        revision: u64,
        table: RouteTable,
        source: ViewSource,
    ) -> bool {
        let mut state = self.state();
        let (old, new) = (state.routes.version(), table.version());
        if new <= old {
            return false;
        }
        let now = self.now();
        state.target_history.record(now, table.resumable_targets());
        state.routes = Arc::new(table);
        state.routes_revision = revision;
        state.lower_limits(self.now());
        drop(state);
        let source = source.name();
        log::info!(
            "event=config_adopted version={new} replaced={old} revision={revision} from={source}"
        );
        true
    }

    /// Records the outcome of a step of a call to a server.
    pub(super) fn record_server_event(&self, server: &ServerEntry, event: ServerEvent) {
        self.share_server_event(server, event);
        let (now, is_cut_off) = (self.now(), self.pool.paths().is_cut_off());
        let mut state = self.state();
        // A late event of a former incarnation, such as a broken stream, would create an entry that is never removed.
        if !state.fleet.has_restarted(server) {
            state.server_health.entry(server.key()).or_default().record(now, event);
        }
        // A partition between failure domains never separates this host from servers of its own domain.
        if server.domain == self.domain() {
            return;
        }
        match event {
            ServerEvent::Sent => state.domain_breakers.record_sent(now, server.domain),
            ServerEvent::Answered
            | ServerEvent::Served
            | ServerEvent::Errored
            | ServerEvent::BrokeOff => {
                state.domain_breakers.record_answer(server.domain);
            }
            ServerEvent::Unresponsive | ServerEvent::OutOfTime => {
                // A server that restarts and stays unresponsive counts as one server.
                let (domain, id) = (server.domain, server.id_key());
                if state.domain_breakers.record_unresponsive(now, domain, id, is_cut_off) {
                    let domain = domain.0;
                    log::warn!("event=domain_lost domain={domain:016x} server={}", server.id);
                }
            }
        }
    }
}
