use super::unreadable_objects::UnreadableObjects;
use crate::admission::AdmissionControl;
use crate::fleet::{FleetView, RefusedHosts, StageChanges, ViewFreshness};
use crate::keys::{IncarnationId, NameKey, PartKey, RequestKey, ServerKey, TimePoint, mix_hash};
use crate::limits::{LimitLedger, LimitMeter, SilentOwners};
use crate::membership::{MemberTable, MemberUpdate, ViewMark};
use crate::memory_forecast::{OutputForecast, PaceTable};
use crate::organisations::ConfigAge;
use crate::placement::{
    DomainBreakers, ErrorRate, GrantHistory, LoadTable, ServerHealth, WorkMeter, WorkSums,
};
use crate::quarantine::{CrashTracker, PartTracker, RequestVerdict, UnconfirmedCrashes};
use crate::retries::{RetryPools, RetryWindow};
use crate::return_times::ReturnCalendar;
use crate::routes::{RouteTable, ServiceKey};
use crate::server_limits::SendControl;
use crate::server_slots::SlotControl;
use crate::settings::GatewayBounds;
use crate::shared_health::SharedHealth;
use crate::silent_runs::{HearingTable, PoolSilence};
use crate::stream_origins::{OriginTable, TargetHistory, VersionHistory};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// What a host currently knows, the basis of its decisions.
#[derive(Debug)]
pub struct GatewayState {
    /// Bounds from the settings.
    pub bounds: GatewayBounds,
    /// The configuration in force.
    pub routes: Arc<RouteTable>,
    /// Store revision at which the configuration was written.
    pub routes_revision: u64,
    /// How fresh the configuration is.
    pub routes_freshness: ViewFreshness,
    /// Upper bound on the age of the configuration, as far as it is proved.
    pub config_age: ConfigAge,
    /// Units that this host uses of the limits of organisations.
    pub limit_meter: LimitMeter,
    /// Units that this host grants to others as the owner of organisations' shares.
    pub limit_ledger: LimitLedger,
    /// Owners that do not reply to this host.
    pub silent_owners: SilentOwners,
    /// View of the backend servers.
    pub fleet: FleetView,
    /// How fresh the view of the backend servers is.
    pub servers_freshness: ViewFreshness,
    /// Load of the backend servers.
    pub server_loads: LoadTable,
    /// Memory holds that engines granted to this host.
    pub grants: GrantHistory,
    /// Health of the backend servers, as this host observed it.
    pub server_health: HashMap<ServerKey, ServerHealth>,
    /// Circuit breakers for other failure domains, as this host reaches them.
    pub domain_breakers: DomainBreakers,
    /// How often prefill servers of each service lately rejected reads of this host, or did not answer.
    pub read_rejections: HashMap<ServiceKey, ErrorRate>,
    /// When a pool last denied a retry of a service's requests.
    pub retries_denied_at: HashMap<ServiceKey, TimePoint>,
    /// Retries of each service's requests that this host may make on its own.
    pub retry_windows: HashMap<ServiceKey, RetryWindow>,
    /// Retries that this host grants to the hosts of its failure domain, if it owns the pool.
    pub retry_pools: RetryPools,
    /// Average work of a request of each service.
    pub work_meters: HashMap<ServiceKey, WorkMeter>,
    /// Average work that other hosts reported, with the time of receipt.
    pub peer_work: HashMap<(IncarnationId, ServiceKey), (TimePoint, WorkSums)>,
    /// Engines that are changing their stage.
    pub stage_changes: StageChanges,
    /// Servers that dropped connections and may have crashed.
    pub unconfirmed_crashes: UnconfirmedCrashes,
    /// Servers that crashed, and the requests in flight at the time.
    pub crashes: CrashTracker,
    /// The parts of prompts on which servers crashed before they had written.
    pub part_crashes: PartTracker,
    /// Revision of the store's copy of the crashes; `None` if the store has no copy.
    pub crashes_revision: Option<u64>,
    /// Requests that this host sends and grants under the limits that backend servers announced.
    pub send_control: SendControl,
    /// When the store last answered any request of this host.
    pub store_answered_at: TimePoint,
    /// Hosts that the store does not answer, this one included.
    pub refused_hosts: RefusedHosts,
    /// Membership table of the hosts.
    pub members: MemberTable,
    /// Unreadable objects in the store that were logged.
    pub unreadable_objects: UnreadableObjects,
    /// Health of the backend servers, as all hosts observed it.
    pub shared_health: SharedHealth,
    /// Demand for decode memory over all hosts.
    pub admission: AdmissionControl,
    /// Returns that all hosts promised to callers.
    pub return_calendar: ReturnCalendar,
    /// Lengths of answers by route.
    pub output_forecast: OutputForecast,
    /// Pace of the decode servers.
    pub paces: PaceTable,
    /// The software versions that began streams.
    pub stream_origins: OriginTable,
    /// The software versions that serve or served recently.
    pub version_history: VersionHistory,
    /// Since when routes have led to the same services.
    pub target_history: TargetHistory,
    /// Places at plain servers that this host uses and grants.
    pub slot_control: SlotControl,
    /// When this host last heard of the servers that run its requests.
    pub hearing: HearingTable,
    /// The silence of the decode servers of each service.
    pub pool_silences: HashMap<ServiceKey, PoolSilence>,
}

impl GatewayState {
    /// How new this host's view is. A host that announces a newer mark is asked for its view.
    pub fn view_mark(&self) -> ViewMark {
        ViewMark { config_version: self.routes.version(), fleet_revision: self.fleet.revision() }
    }

    /// Another living host of the same failure domain; `salt` varies the choice.
    pub fn same_domain_member(&self, salt: u64) -> Option<MemberUpdate> {
        let own = self.members.own();
        let members = self.members.living_in(own.domain).map(|(_, member)| member);
        let others = members.filter(|member| member.incarnation != own.incarnation);
        others.min_by_key(|member| mix_hash(salt, member.incarnation.0))
    }

    /// The host that watches the store on behalf of a failure domain.
    pub fn watcher(&self, now: TimePoint, domain: NameKey) -> Option<IncarnationId> {
        let hosts = self.members.living_in(domain).map(|(_, member)| member.incarnation);
        self.refused_hosts.elect(now, hosts)
    }

    /// Time since this host last received a message from those that would send it updates: the hosts that precede it
    /// among the watcher candidates, if it is a candidate, or any other host if it is not.
    pub fn silent_for(&self, now: TimePoint) -> Option<Duration> {
        let own = self.members.own();
        let hosts = self.members.living_in(own.domain).map(|(_, member)| member.incarnation);
        let before = self.refused_hosts.predecessors(now, own.incarnation, hosts);
        self.members.silent_for(now, |host| before.is_empty() || before.contains(&host))
    }

    /// Addresses of the other watcher candidates, if this host is a candidate. The candidates after it expect its
    /// messages, and all of them must agree on the hosts that the store refuses: otherwise each would leave the role
    /// to another one.
    pub fn watcher_candidates(&self) -> Vec<SocketAddr> {
        let own = self.members.own();
        let hosts = self.members.living_in(own.domain).map(|(_, member)| member.incarnation);
        let others = RefusedHosts::other_candidates(own.incarnation, hosts);
        let known = others.into_iter().filter_map(|host| self.members.record(host));
        known.map(|record| record.update.address).collect()
    }

    /// The longest time for which caller keys stay valid without proof that the configuration is the newest
    /// one; `None` if callers need no keys or nothing bounds it.
    pub fn max_config_age(&self) -> Option<Duration> {
        let bound =
            self.bounds.max_revocation_delay.filter(|_| !self.routes.organisations().is_empty());
        bound.map(|bound| bound.saturating_sub(REVOCATION_MARGIN))
    }

    /// Whether the configuration is too old to validate caller keys.
    pub fn is_config_too_old(&self, now: TimePoint) -> bool {
        self.max_config_age().is_some_and(|max_age| self.config_age.age(now) > max_age)
    }

    /// Recent work of a service's requests, summed over all hosts.
    pub fn work_sums(&self, now: TimePoint, service: ServiceKey) -> WorkSums {
        let own = self.work_meters.get(&service).map(|meter| meter.sums(now)).unwrap_or_default();
        self.peer_work
            .iter()
            .filter(|((_, of), (at, _))| *of == service && now.since(*at) < PEER_WORK_TTL)
            .fold(own, |sum, (_, (_, sums))| sum.plus(*sums))
    }

    /// Records the limits of servers that have just started and are still cold.
    pub(super) fn record_cold_servers(&mut self, now: TimePoint) {
        for (server, until) in self.fleet.cold(now) {
            let spec = self.routes.service(server.service);
            if let Some(limit) = spec.and_then(|spec| spec.cold_limit) {
                self.send_control.cold.record(server.key(), until, limit);
            }
        }
    }

    /// Decides whether a request is held back, by its contents and by the shared parts of its prompt.
    pub(super) fn quarantine_verdict(
        &self,
        request: RequestKey,
        shared_parts: &[PartKey],
    ) -> RequestVerdict {
        match (self.crashes.verdict(request), self.part_crashes.verdict(shared_parts)) {
            (RequestVerdict::Held, _) | (_, RequestVerdict::Held) => RequestVerdict::Held,
            (RequestVerdict::Free, other) | (other, RequestVerdict::Free) => other,
            (RequestVerdict::Unsettled { wait }, RequestVerdict::Unsettled { wait: other }) => {
                RequestVerdict::Unsettled { wait: wait.min(other) }
            }
        }
    }

    /// Drops entries that nobody has renewed.
    pub fn expire(&mut self, now: TimePoint) {
        self.server_loads.expire(now);
        self.grants.retain(|server| self.fleet.entry(server).is_some());
        self.stage_changes.expire(now);
        self.crashes.expire(now);
        self.part_crashes.expire(now);
        self.send_control.expire(now, |server| self.fleet.entry(server).is_some());
        self.paces.retain(|server| self.fleet.entry(server).is_some());
        self.refused_hosts.expire(now);
        self.silent_owners.expire(now);
        self.limit_ledger.expire(now);
        self.peer_work.retain(|_, (at, _)| now.since(*at) < PEER_WORK_TTL);
    }

    /// Number of hosts ever known by address, including dead ones: hosts on both sides of a partition believe each
    /// other dead, but still have to divide the limits that apply to all of them.
    pub(super) fn known_host_count(&self) -> usize {
        let addresses: HashSet<SocketAddr> =
            self.members.records().map(|record| record.update.address).collect();
        addresses.len() + 1
    }
}

/// Keys expire this long before the bound on their revocation, because the clocks of two hosts drift apart
/// by less than this within that time.
const REVOCATION_MARGIN: Duration = Duration::from_millis(100);

/// How long the work figures of another host are used after its last update.
const PEER_WORK_TTL: Duration = Duration::from_secs(5);
