use super::gateway_state::GatewayState;
use super::pending_replies::PendingReplies;
use super::unreadable_objects::UnreadableObjects;
use crate::engines::HttpPool;
use crate::fleet::{FleetView, RefusedHosts, ServerEntry, StageChanges, ViewFreshness};
use crate::host::lock;
use crate::keys::{HostClock, IncarnationId, NameKey, RequestHasher, TimePoint};
use crate::limits::{LimitLedger, LimitMeter, LimitReply, SilentOwners};
use crate::membership::{MemberTable, MemberUpdate};
use crate::organisations::{ConfigAge, KeyHasher};
use crate::peers::{PeerClient, ViewFetches};
use crate::placement::{DomainBreakers, GrantHistory, LoadTable, ServerEvent};
use crate::platform::StoreClient;
use crate::quarantine::{CrashTracker, UnconfirmedCrashes};
use crate::retries::{RetryPools, RetryReply};
use crate::routes::RouteTable;
use crate::server_limits::{PermitReply, SendControl};
use crate::settings::GatewaySettings;
use crate::telemetry::MetricBook;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::SystemTime;
use tokio::net::UdpSocket;
use tokio::sync::{Notify, watch};

/// How far a planned stop has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// Callers are served.
    Serving,
    /// The platform is told to send no more callers; those that come are still served.
    Draining,
    /// Connections are closed; requests under way end, and what was read meanwhile.
    Closing,
    /// The process ends; what is still read is refused.
    Ending,
}

/// Where a newer view came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ViewSource {
    /// This host's own call of the store.
    Store,
    /// Another host.
    Peer,
}

impl ViewSource {
    const fn name(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Peer => "peer",
        }
    }
}

/// Everything that one daemon on the platform knows.
#[derive(Debug)]
pub struct GatewayHost {
    /// Its settings at the start; bounds that may change are in the state.
    pub settings: GatewaySettings,
    /// This life of it.
    pub incarnation: IncarnationId,
    clock: HostClock,
    pub(super) next_serial: AtomicU64,
    state: Mutex<GatewayState>,
    metrics: Mutex<MetricBook>,
    pub(super) pool: HttpPool,
    pub(super) store: StoreClient,
    pub(super) peers: PeerClient,
    pub(super) peers_address: SocketAddr,
    pub(super) socket: Arc<UdpSocket>,
    pub(super) key_hasher: KeyHasher,
    pub(super) request_hasher: RequestHasher,
    /// Requests that wait for an answer about the age of the configuration.
    pub(super) config_age_updated: Notify,
    pub(super) limit_replies: PendingReplies<LimitReply>,
    pub(super) send_replies: PendingReplies<PermitReply>,
    pub(super) retry_replies: PendingReplies<RetryReply>,
    pub(super) gossip_round: AtomicU64,
    pub(super) view_fetches: Mutex<ViewFetches>,
    pub(super) routes_unreachable: AtomicBool,
    pub(super) servers_unreachable: AtomicBool,
    pub(super) stop: watch::Sender<StopPhase>,
    pub(super) in_flight: AtomicU64,
}

impl GatewayHost {
    /// The state of a daemon that starts now, whose peers reach it at `peers_address`.
    pub fn new(
        settings: GatewaySettings,
        peers_address: SocketAddr,
        socket: Arc<UdpSocket>,
    ) -> Self {
        let incarnation = IncarnationId::at_start(SystemTime::now(), rand::random());
        let domain = NameKey::of(&settings.domain);
        let own = MemberUpdate::started(incarnation, peers_address, domain);
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
            fleet: FleetView::default(),
            servers_freshness: ViewFreshness::default(),
            server_loads: LoadTable::default(),
            grants: GrantHistory::default(),
            server_health: HashMap::new(),
            domain_breakers: DomainBreakers::default(),
            retry_windows: HashMap::new(),
            retry_pools: RetryPools::default(),
            work_meters: HashMap::new(),
            peer_work: HashMap::new(),
            stage_changes: StageChanges::default(),
            unconfirmed_crashes: UnconfirmedCrashes::default(),
            crashes: CrashTracker::default(),
            crashes_revision: None,
            send_control: SendControl::default(),
            store_answered_at: TimePoint::default(),
            refused_hosts: RefusedHosts::default(),
            members: MemberTable::new(own, seeds, rand::random()),
            unreadable_objects: UnreadableObjects::default(),
        };
        Self {
            incarnation,
            clock: HostClock::start(),
            next_serial: AtomicU64::new(rand::random::<u32>().into()),
            state: Mutex::new(state),
            metrics: Mutex::default(),
            pool: HttpPool::default(),
            store: StoreClient::new(settings.store),
            peers: PeerClient::new(&settings.shared_key),
            peers_address,
            socket,
            key_hasher: KeyHasher::new(&settings.shared_key),
            request_hasher: RequestHasher::new(&settings.shared_key),
            config_age_updated: Notify::new(),
            limit_replies: PendingReplies::default(),
            send_replies: PendingReplies::default(),
            retry_replies: PendingReplies::default(),
            gossip_round: AtomicU64::new(1),
            view_fetches: Mutex::default(),
            routes_unreachable: AtomicBool::new(false),
            servers_unreachable: AtomicBool::new(false),
            stop: watch::Sender::new(StopPhase::Serving),
            in_flight: AtomicU64::new(0),
            settings,
        }
    }

    /// The present time on this host's own clock.
    pub fn now(&self) -> TimePoint {
        self.clock.now()
    }

    /// The moment `point` on the runtime's clock.
    pub(super) fn instant(&self, point: TimePoint) -> tokio::time::Instant {
        tokio::time::Instant::now() + point.since(self.now())
    }

    /// The state, for one short look or change.
    pub fn state(&self) -> MutexGuard<'_, GatewayState> {
        lock(&self.state)
    }

    /// Metrics, for one short change.
    pub fn metrics(&self) -> MutexGuard<'_, MetricBook> {
        lock(&self.metrics)
    }

    /// The configuration in force.
    pub fn routes(&self) -> Arc<RouteTable> {
        Arc::clone(&self.state().routes)
    }

    /// The key of this host's failure domain.
    pub fn domain(&self) -> NameKey {
        NameKey::of(&self.settings.domain)
    }

    /// How far a planned stop has come.
    pub fn stop_phase(&self) -> StopPhase {
        *self.stop.borrow()
    }

    /// Waits until no more requests are read.
    pub(super) async fn wait_for_closing(&self) {
        let mut stop = self.stop.subscribe();
        // The sender lives as long as this host: the wait ends only with the phase.
        drop(stop.wait_for(|phase| *phase >= StopPhase::Closing).await);
    }

    /// Puts changed settings in force, as far as that goes without a restart.
    pub fn reload(&self, newer: &GatewaySettings) {
        let fixed = self.settings.fixed_changes(newer).join(",");
        let own = self.peers_address;
        let seeds = newer.seeds.iter().copied().filter(|seed| *seed != own).collect();
        {
            let mut state = self.state();
            state.bounds = newer.bounds;
            state.members.set_seeds(seeds);
        }
        log::set_max_level(newer.log_level);
        let outcome = if fixed.is_empty() { "in_force" } else { "restart_needed" };
        log::info!("event=settings_reloaded outcome={outcome} unchanged=\"{fixed}\"");
    }

    /// Whether callers may be sent here: not to a host that would refuse them all, since it cannot tell
    /// whose keys are still good.
    pub fn is_ready(&self) -> bool {
        let now = self.now();
        let state = self.state();
        let informed = state.routes.version() > 0 && state.fleet.revision() > 0;
        let permits = !state.is_config_too_old(now);
        informed && permits && self.stop_phase() == StopPhase::Serving
    }

    /// Hosts that share what all of them may do together.
    pub(super) fn sharing_host_count(&self) -> usize {
        self.state().known_host_count().max(LEAST_HOSTS)
    }

    /// Adopts a configuration that is newer than the one in force; true if it is.
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

    /// Takes note of what happened between this host and a server.
    pub(super) fn record_server_event(&self, server: &ServerEntry, note: ServerEvent) {
        let now = self.now();
        let mut state = self.state();
        // What a former life still comes to, as a broken stream, would stay for good.
        if !state.fleet.has_restarted(server) {
            state.server_health.entry(server.key()).or_default().record(now, note);
        }
        // Servers of the own domain are never behind a cut between domains.
        if server.domain == self.domain() {
            return;
        }
        match note {
            ServerEvent::Sent => state.domain_breakers.record_sent(now, server.domain),
            ServerEvent::Answered | ServerEvent::Served | ServerEvent::Errored => {
                state.domain_breakers.record_answer(server.domain);
            }
            ServerEvent::Unresponsive => {
                // A server that starts again and stays silent is still one server.
                if state.domain_breakers.record_unresponsive(now, server.domain, server.id_key()) {
                    let domain = server.domain.0;
                    log::warn!("event=domain_lost domain={domain:016x} server={}", server.id);
                }
            }
        }
    }
}

/// Hosts assumed before others are known.
const LEAST_HOSTS: usize = 10;
