use super::unreadable_objects::UnreadableObjects;
use crate::fleet::{FleetView, RefusedHosts, StageChanges, ViewFreshness};
use crate::keys::{IncarnationId, NameKey, ServerKey, TimePoint, mix_hash};
use crate::limits::{LimitLedger, LimitMeter, SilentOwners};
use crate::membership::{MemberTable, MemberUpdate, ViewMark};
use crate::organisations::ConfigAge;
use crate::placement::{
    DomainBreakers, GrantHistory, LoadTable, ServerHealth, WorkMeter, WorkSums,
};
use crate::quarantine::{CrashTracker, UnconfirmedCrashes};
use crate::retries::{RetryPools, RetryWindow};
use crate::routes::{RouteTable, ServiceKey};
use crate::server_limits::SendControl;
use crate::settings::GatewayBounds;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// What a host believes and decides from.
#[derive(Debug)]
pub struct GatewayState {
    /// Bounds of the settings.
    pub bounds: GatewayBounds,
    /// The configuration in force.
    pub routes: Arc<RouteTable>,
    /// Revision of the store at which it was written.
    pub routes_revision: u64,
    /// How fresh it is.
    pub routes_freshness: ViewFreshness,
    /// How old it may be, as far as that is proved.
    pub config_age: ConfigAge,
    /// What this host uses on account of organisations.
    pub limit_meter: LimitMeter,
    /// What it grants to others as the owner of organisations' parts.
    pub limit_ledger: LimitLedger,
    /// Owners that do not answer it.
    pub silent_owners: SilentOwners,
    /// The backend servers.
    pub fleet: FleetView,
    /// How fresh what is known of them is.
    pub servers_freshness: ViewFreshness,
    /// Their load.
    pub server_loads: LoadTable,
    /// Holds that engines granted to this host.
    pub grants: GrantHistory,
    /// Their health, as this host saw it.
    pub server_health: HashMap<ServerKey, ServerHealth>,
    /// Other failure domains, as this host reaches them.
    pub domain_breakers: DomainBreakers,
    /// Repeats of each service's requests that this host may make by itself.
    pub retry_windows: HashMap<ServiceKey, RetryWindow>,
    /// Repeats that it grants to the hosts of its failure domain, if it is the one that does.
    pub retry_pools: RetryPools,
    /// What an average request of each service takes.
    pub work_meters: HashMap<ServiceKey, WorkMeter>,
    /// The same, as other hosts said and when.
    pub peer_work: HashMap<(IncarnationId, ServiceKey), (TimePoint, WorkSums)>,
    /// Engines that change their stage.
    pub stage_changes: StageChanges,
    /// Servers that broke connections off and may have crashed.
    pub unconfirmed_crashes: UnconfirmedCrashes,
    /// Servers that crashed, and under which requests.
    pub crashes: CrashTracker,
    /// Revision of the store's copy of the crashes; `None` if it has none.
    pub crashes_revision: Option<u64>,
    /// What this host sends and grants under the limits that backend servers named.
    pub send_control: SendControl,
    /// When the store last answered this host, whatever it had asked.
    pub store_answered_at: TimePoint,
    /// Hosts that the store does not answer, this one included.
    pub refused_hosts: RefusedHosts,
    /// The other hosts.
    pub members: MemberTable,
    /// Objects of the store that cannot be read, as far as they were logged.
    pub unreadable_objects: UnreadableObjects,
}

impl GatewayState {
    /// How new this host's view is; a host that has anything newer is asked for it.
    pub fn view_mark(&self) -> ViewMark {
        ViewMark { config_version: self.routes.version(), fleet_revision: self.fleet.revision() }
    }

    /// Another living host of the own failure domain; which one differs with `salt`.
    pub fn other_domain_member(&self, salt: u64) -> Option<MemberUpdate> {
        let own = self.members.own();
        let near = self.members.owners(own.domain).map(|(_, member)| member);
        let others = near.filter(|member| member.incarnation != own.incarnation);
        others.min_by_key(|member| mix_hash(salt, member.incarnation.0))
    }

    /// The host that asks the store for a failure domain.
    pub fn watcher(&self, now: TimePoint, domain: NameKey) -> Option<IncarnationId> {
        let hosts = self.members.owners(domain).map(|(_, member)| member.incarnation);
        self.refused_hosts.elect(now, hosts)
    }

    /// Time since this host heard those that would tell it of news: the hosts that come before it as watchers, if it is one
    /// of the few that are tried, and else any other host.
    pub fn silent_for(&self, now: TimePoint) -> Option<Duration> {
        let own = self.members.own();
        let hosts = self.members.owners(own.domain).map(|(_, member)| member.incarnation);
        let before = self.refused_hosts.predecessors(now, own.incarnation, hosts);
        self.members.silent_for(now, |host| before.is_empty() || before.contains(&host))
    }

    /// The other hosts that are tried as watchers, if this is one of them: those that come next listen for it, and all must
    /// agree on whom the store refuses, or each leaves the office to another one.
    pub fn watcher_candidates(&self) -> Vec<SocketAddr> {
        let own = self.members.own();
        let hosts = self.members.owners(own.domain).map(|(_, member)| member.incarnation);
        let beside = RefusedHosts::other_candidates(own.incarnation, hosts);
        let known = beside.into_iter().filter_map(|host| self.members.record(host));
        known.map(|record| record.update.address).collect()
    }

    /// The longest time for which keys of callers may be believed without a sign that the configuration
    /// is the newest one; `None` if they need none or nothing bounds it.
    pub fn max_config_age(&self) -> Option<Duration> {
        let bound = self.bounds.revocation.filter(|_| !self.routes.organisations().is_empty());
        bound.map(|bound| bound.saturating_sub(REVOCATION_MARGIN))
    }

    /// Whether keys of callers cannot be believed any more.
    pub fn is_config_too_old(&self, now: TimePoint) -> bool {
        self.max_config_age().is_some_and(|longest| self.config_age.age(now) > longest)
    }

    /// What requests of a service took lately, over all hosts.
    pub fn work_sums(&self, now: TimePoint, service: ServiceKey) -> WorkSums {
        let own = self.work_meters.get(&service).map(|meter| meter.sums(now)).unwrap_or_default();
        self.peer_work
            .iter()
            .filter(|((_, of), (at, _))| *of == service && now.since(*at) < WORK_NEWS_LIFE)
            .fold(own, |sum, (_, (_, sums))| sum.plus(*sums))
    }

    /// Takes note of what servers bear that have just started.
    pub(super) fn record_cold_servers(&mut self, now: TimePoint) {
        for (server, until) in self.fleet.cold(now) {
            let spec = self.routes.service(server.service);
            if let Some(limit) = spec.and_then(|spec| spec.cold_limit) {
                self.send_control.cold.record(server.key(), until, limit);
            }
        }
    }

    /// Forgets what nobody repeats.
    pub fn expire(&mut self, now: TimePoint) {
        self.server_loads.expire(now);
        self.grants.retain(|server| self.fleet.entry(server).is_some());
        self.stage_changes.expire(now);
        self.crashes.expire(now);
        self.send_control.expire(now, |server| self.fleet.entry(server).is_some());
        self.refused_hosts.expire(now);
        self.silent_owners.expire(now);
        self.limit_ledger.expire(now);
        self.peer_work.retain(|_, (at, _)| now.since(*at) < WORK_NEWS_LIFE);
    }

    /// Addresses of all hosts ever heard of, dead ones included: after a cut, hosts that believe
    /// each other dead still share what all of them may do together.
    pub(super) fn known_host_count(&self) -> usize {
        let addresses: HashSet<SocketAddr> =
            self.members.records().map(|record| record.update.address).collect();
        addresses.len() + 1
    }
}

/// Keys are no longer believed this long before the bound on their revocation: clocks of two hosts run
/// apart by less in that time.
const REVOCATION_MARGIN: Duration = Duration::from_millis(100);

/// What another host's requests took is believed this long after it last said so.
const WORK_NEWS_LIFE: Duration = Duration::from_secs(5);
