use super::own_demand::{DemandKey, OwnDemand};
use super::pressure_table::PressureTable;
use super::service_state::{MIN_SEND_PERIOD, ServiceState};
use super::{
    AdmissionDecision, AdmissionRequest, DecodePool, PressureLevel, PressureScope, PressureUpdate,
    SearchOutcome, ServicePressure,
};
use crate::keys::{IncarnationId, NameKey, TimePoint};
use crate::routes::ServiceKey;
use std::collections::HashMap;
use std::time::Duration;

/// A gap between two calls after which the host is taken to have been suspended; calls come five times a second.
const SUSPENSION_GAP: Duration = Duration::from_secs(1);
/// How long after a suspension updates are ignored: they waited in the socket and are out of date.
const RESUME_PAUSE: Duration = Duration::from_millis(100);
/// Shortest time between two announcements of a shortage: as long as a search counts, so that the first announcement
/// still contains it.
const ANNOUNCE_PAUSE: Duration = Duration::from_secs(1);
/// Organisations in the figures of one rank.
const MAX_ORGS: usize = 32;
/// Organisations in one update, at up to 15 bytes each.
const MAX_ORG_ROWS: usize = 96;
/// Services in one update, so that it fits into a datagram.
const MAX_SERVICES: usize = 3;

/// Memory that a run of this host uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryUse {
    key: DemandKey,
    tokens: u32,
}

/// The demand for decode memory over all hosts, and the decisions based on it.
#[derive(Debug, Clone, Default)]
pub struct AdmissionControl {
    own: OwnDemand,
    table: PressureTable,
    states: HashMap<ServiceKey, ServiceState>,
    version: u64,
    announced_at: Option<TimePoint>,
    active_at: Option<TimePoint>,
    resumed_at: Option<TimePoint>,
}

impl AdmissionControl {
    /// Records how a search of this host for `tokens` ended.
    pub fn record_search(
        &mut self,
        now: TimePoint,
        service: ServiceKey,
        request: &AdmissionRequest,
        outcome: SearchOutcome,
    ) {
        self.own.record_search(now, demand_key(service, request), request.tokens, outcome);
    }

    /// Records that a run of this host begins to use memory. Returns what to pass to [`Self::record_end`].
    pub fn record_begin(&mut self, service: ServiceKey, request: &AdmissionRequest) -> MemoryUse {
        let key = demand_key(service, request);
        self.own.record_begin(key, request.tokens);
        MemoryUse { key, tokens: request.tokens }
    }

    /// Records that a run of this host has ended.
    pub fn record_end(&mut self, memory: MemoryUse) {
        self.own.record_end(memory.key, memory.tokens);
    }

    /// Applies the figures of another host or failure domain.
    pub fn apply(&mut self, now: TimePoint, update: PressureUpdate) {
        self.expire(now);
        if self.resumed_at.is_none_or(|at| now.since(at) >= RESUME_PAUSE) {
            self.table.apply(now, update);
        }
    }

    /// Decides where a request may search for memory.
    pub fn decide(
        &mut self,
        now: TimePoint,
        pool: &DecodePool,
        request: &AdmissionRequest,
    ) -> AdmissionDecision {
        if !pool.is_contested() {
            return AdmissionDecision::Everywhere;
        }
        let total = self.total(now, pool);
        let state = self.states.entry(pool.service).or_default();
        state.update(now, &total, pool);
        if state.level() == PressureLevel::Calm {
            return AdmissionDecision::Everywhere;
        }
        if let Some(refusal) = state.refusal(&total, pool, request) {
            return AdmissionDecision::Refuse(refusal);
        }
        let parts = state.search_parts(pool, request.rank);
        if parts.first.is_empty() && parts.without.is_empty() {
            return AdmissionDecision::Everywhere;
        }
        AdmissionDecision::Search(parts)
    }

    /// Updates the level of a service; returns it, with the demand that it is based on, if it has changed since the last
    /// call.
    pub fn update_level(
        &mut self,
        now: TimePoint,
        pool: &DecodePool,
    ) -> Option<(PressureLevel, ServicePressure)> {
        let total = self.total(now, pool);
        let state = self.states.entry(pool.service).or_default();
        state.update(now, &total, pool);
        state.take_change().map(|level| (level, total))
    }

    /// The present level of a service.
    pub fn level(&self, service: ServiceKey) -> PressureLevel {
        self.states.get(&service).map(ServiceState::level).unwrap_or_default()
    }

    /// How often a host sends its figures of a service; [`MIN_SEND_PERIOD`] is the shortest.
    pub fn send_period(&self, service: ServiceKey) -> Duration {
        self.states.get(&service).map_or(MIN_SEND_PERIOD, ServiceState::send_period)
    }

    /// Number of servers reserved against the least urgent rank.
    pub fn reserved_count(&self, pool: &DecodePool) -> usize {
        let (Some(state), Some(rank)) = (self.states.get(&pool.service), pool.ranks.last()) else {
            return 0;
        };
        state.reserved_count(pool, *rank)
    }

    /// Whether this host is to announce a shortage that it has just met; not again before [`ANNOUNCE_PAUSE`] has passed.
    pub fn begin_announcement(&mut self, now: TimePoint) -> bool {
        if self.announced_at.is_some_and(|at| now.since(at) < ANNOUNCE_PAUSE) {
            return false;
        }
        self.announced_at = Some(now);
        true
    }

    /// This host's own figures, for the hosts of its failure domain.
    pub fn own_update(&mut self, now: TimePoint, from: IncarnationId) -> PressureUpdate {
        self.expire(now);
        let figures = self.own.services().into_iter().map(|service| self.own.figures(service));
        let services = bounded(figures.collect());
        self.version += 1;
        PressureUpdate { from, version: self.version, scope: PressureScope::Host, services }
    }

    /// The figures of this host's failure domain, for the hosts of other ones.
    pub fn domain_update(
        &mut self,
        now: TimePoint,
        from: IncarnationId,
        domain: NameKey,
        pools: &[DecodePool],
    ) -> PressureUpdate {
        self.expire(now);
        let figures = pools
            .iter()
            .map(|pool| self.table.domain_total(self.own.figures(pool.service), pool.host_count));
        let services = bounded(figures.collect());
        self.version += 1;
        let scope = PressureScope::Domain(domain);
        PressureUpdate { from, version: self.version, scope, services }
    }

    fn total(&mut self, now: TimePoint, pool: &DecodePool) -> ServicePressure {
        self.expire(now);
        self.table.total(self.own.figures(pool.service), pool.host_count)
    }

    /// Drops figures that are too old, and all figures of other hosts after a suspension.
    fn expire(&mut self, now: TimePoint) {
        let active_at = self.active_at.replace(now);
        if active_at.is_some_and(|at| now.since(at) > SUSPENSION_GAP) {
            self.table.clear();
            self.states.clear();
            self.resumed_at = Some(now);
        }
        self.own.expire(now);
        self.table.expire(now);
    }
}

fn demand_key(service: ServiceKey, request: &AdmissionRequest) -> DemandKey {
    DemandKey { service, rank: request.rank, org: request.org }
}

/// Limits figures to what fits into a datagram.
fn bounded(mut services: Vec<ServicePressure>) -> Vec<ServicePressure> {
    services.sort_by(|left, right| right.tokens().total_cmp(&left.tokens()));
    services.truncate(MAX_SERVICES);
    let rank_count: usize = services.iter().map(|service| service.ranks.len()).sum();
    let limit = MAX_ORGS.min(MAX_ORG_ROWS / rank_count.max(1));
    for rank in services.iter_mut().flat_map(|service| &mut service.ranks) {
        rank.truncate_orgs(limit);
    }
    services
}
