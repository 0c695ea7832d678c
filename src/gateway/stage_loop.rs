//! Moves servers between the pools of a service: one host decides, under a lease in the store.

use super::gateway_host::{GatewayHost, StopPhase};
use super::gateway_state::GatewayState;
use crate::fleet::{ServerEntry, ServerStage};
use crate::keys::{NameKey, TimePoint};
use crate::orders::{
    ChangeOrders, OrderLease, PoolSizes, StagePlanner, change_batch_size, has_spare_capacity,
    may_issue_orders,
};
use crate::routes::{EngineSpec, ServiceKey};
use std::cmp::Reverse;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

const LOOK_PERIOD: Duration = Duration::from_millis(500);
/// Looks after which all hosts are told again which servers change: each hears of an order at once and
/// believes it for 7 s, so this is for lost datagrams. With news at every look the
/// busiest of 300 hosts sent and got 835 kB a second, with every fourth 244.
const REPEAT_LOOKS: u32 = 4;
/// How long a change is expected to take that another host ordered: an idle engine's change.
const CHANGE_TIME: Duration = Duration::from_secs(6);
/// Orders that go out side by side under one fence: each report and order takes 0.3 s at most, and a
/// fence holds for 1 s.
const ORDERS_AT_ONCE: usize = 32;

/// What the giver of orders keeps.
#[derive(Debug, Default)]
pub(super) struct StageController {
    pub lease: OrderLease,
    pub planners: HashMap<ServiceKey, StagePlanner>,
    pub orders: ChangeOrders,
    /// It has taken note of what the last giver left under way.
    is_leader: bool,
}

/// A change that should be ordered.
#[derive(Debug)]
pub(super) struct PlannedChange {
    pub service: ServiceKey,
    pub engine: EngineSpec,
    pub server: ServerEntry,
    pub to: ServerStage,
}

/// Looks now and then whether the pools fit the work.
pub(super) async fn run_stages(host: Arc<GatewayHost>) {
    let mut ticker = tokio::time::interval(LOOK_PERIOD);
    ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut desk = StageController::default();
    let mut looks = 0_u32;
    loop {
        ticker.tick().await;
        if !host.is_order_leader() {
            // A takeover that waits goes on waiting if this host is elected again.
            desk = StageController { lease: desk.lease, ..StageController::default() };
            host.state().stage_changes.retain_orders(|_| false);
            continue;
        }
        if !may_issue_orders(host.now().since(TimePoint::default())) {
            continue;
        }
        if !desk.is_leader {
            host.acquire_leadership(&mut desk).await;
        }
        if desk.lease.is_waiting(host.now()) {
            continue;
        }
        let changes = host.plan_changes(&mut desk);
        looks += 1;
        if looks.is_multiple_of(REPEAT_LOOKS)
            && host.state().stage_changes.ordered().next().is_some()
        {
            host.broadcast_notices();
        }
        for batch in changes.chunks(ORDERS_AT_ONCE) {
            host.order_batch(&mut desk, batch).await;
        }
    }
}

impl GatewayHost {
    /// Whether this host is the one that gives orders.
    fn is_order_leader(&self) -> bool {
        self.stop_phase() == StopPhase::Serving && self.is_elected_leader()
    }

    /// Whether this host decides what one of them must decide for all: it is the oldest that can be reached and
    /// that the store answers.
    pub(super) fn is_elected_leader(&self) -> bool {
        let now = self.now();
        let state = self.state();
        let reachable = state.members.reachable(now).map(|member| member.incarnation);
        state.refused_hosts.elect(now, reachable) == Some(self.incarnation)
    }

    /// Begins to give orders: changes that the last giver ordered are under way and not planned again,
    /// and the wait for its lease begins now and not with the first plan.
    async fn acquire_leadership(&self, desk: &mut StageController) {
        let now = self.now();
        {
            let state = self.state();
            for (key, to) in state.stage_changes.announced(now) {
                desk.orders.record_ordered(now, key, to, CHANGE_TIME);
            }
        }
        desk.is_leader = true;
        let outcome = match self.renew_lease(&mut desk.lease).await {
            Ok(()) => "written".to_owned(),
            // The first order tries again.
            Err(error) => error.to_string(),
        };
        log::info!(
            "event=office_taken lease=\"{outcome}\" under_way={}",
            desk.orders.pending_count()
        );
    }

    fn plan_changes(&self, desk: &mut StageController) -> Vec<PlannedChange> {
        let now = self.now();
        let mut state = self.state();
        let state = &mut *state;
        desk.orders.expire(now, |key| state.fleet.entry(key).map(|entry| entry.stage));
        state.stage_changes.retain_orders(|key| desk.orders.target_stage(key).is_some());
        let mut changes = Vec::new();
        for (service, spec) in state.routes.services() {
            let Some(engine) = &spec.engine else { continue };
            let sums = state.work_sums(now, service);
            let Some(work) = sums.request_work(engine.memory_tokens) else { continue };
            let sizes = pool_sizes(state, now, service, &desk.orders);
            let planner = desk.planners.entry(service).or_default();
            let Some(to) = planner.decide(now, sizes, work) else { continue };
            let requests = sums.requests_per_second(state.members.living().count());
            if has_spare_capacity(to, sizes, work, requests) {
                continue;
            }
            let step = change_batch_size(sizes, work);
            for server in best_to_change(state, now, service, to, step, desk) {
                log::info!(
                    "event=stage_planned server={} to={} prefills={} decodes={} read_s={:.3} \
                     decode_s={:.3} per_s={requests:.1}",
                    server.id,
                    to.name(),
                    sizes.prefills,
                    sizes.decodes,
                    work.read_seconds,
                    work.decode_seconds
                );
                changes.push(PlannedChange { service, engine: engine.clone(), server, to });
            }
        }
        changes
    }
}

/// Servers of each pool; one that is changing counts for where it goes.
fn pool_sizes(
    state: &GatewayState,
    now: TimePoint,
    service: ServiceKey,
    orders: &ChangeOrders,
) -> PoolSizes {
    let mut sizes = PoolSizes { prefills: 0, decodes: 0 };
    for entry in state.fleet.ready(service).filter(|entry| takes_work(state, now, entry)) {
        match orders.target_stage(entry.key()).or(entry.stage) {
            Some(ServerStage::Prefill) => sizes.prefills += 1,
            Some(ServerStage::Decode) => sizes.decodes += 1,
            None => {}
        }
    }
    sizes
}

fn takes_work(state: &GatewayState, now: TimePoint, entry: &ServerEntry) -> bool {
    state.server_health.get(&entry.key()).is_none_or(|health| health.admits(now))
}

/// The `count` servers of the other stage with the least work, best where their stage is most
/// common.
fn best_to_change(
    state: &GatewayState,
    now: TimePoint,
    service: ServiceKey,
    to: ServerStage,
    count: usize,
    desk: &StageController,
) -> Vec<ServerEntry> {
    let mut candidates: Vec<&ServerEntry> = state
        .fleet
        .ready_at(service, to.other())
        .filter(|entry| !desk.orders.is_excluded(entry.key()) && takes_work(state, now, entry))
        .collect();
    let mut in_domain: HashMap<NameKey, usize> = HashMap::new();
    for entry in &candidates {
        *in_domain.entry(entry.domain).or_default() += 1;
    }
    let work = |entry: &ServerEntry| {
        let load = state.server_loads.total(entry.key());
        load.memory_tokens + load.prompt_tokens
    };
    let mut chosen = Vec::new();
    while chosen.len() < count {
        let common =
            |entry: &ServerEntry| in_domain.get(&entry.domain).copied().unwrap_or_default();
        let best = candidates
            .iter()
            .enumerate()
            .min_by_key(|(_, entry)| (Reverse(common(entry)), work(entry)))
            .map(|(place, _)| place);
        let Some(place) = best else { break };
        let entry = candidates.swap_remove(place);
        *in_domain.entry(entry.domain).or_default() -= 1;
        chosen.push(entry.clone());
    }
    chosen
}
