//! Moves servers between the prefill and decode pools of a service. One host, the leader, decides under a lease in
//! the store.

use super::gateway_host::GatewayHost;
use super::gateway_state::GatewayState;
use super::stop_phase::StopPhase;
use crate::fleet::{ServerEntry, ServerStage};
use crate::keys::{NameKey, TimePoint};
use crate::orders::{
    ChangeOrders, LeaderRole, LeaderTenure, OrderLease, PoolSizes, StagePlanner, change_batch_size,
    has_spare_capacity, may_issue_orders,
};
use crate::routes::{EngineSpec, ServiceKey};
use std::cmp::Reverse;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

const PLAN_PERIOD: Duration = Duration::from_millis(500);
/// Planning rounds after which all hosts are notified again of the servers that change their stage. Hosts
/// are notified of an order immediately and keep it for 7 s, so the repetition only covers lost datagrams.
/// Notices in every round cost the busiest of 300 hosts 835 kB/s, in every fourth round 244 kB/s.
const NOTICE_ROUNDS: u32 = 4;
/// Expected duration of a stage change that another host ordered: that of an idle engine.
const CHANGE_TIME: Duration = Duration::from_secs(6);
/// Most orders sent concurrently under one fence: each report and order takes 0.3 s at most, and a fence
/// is valid for 1 s.
const MAX_BATCH_ORDERS: usize = 32;

/// How long a host must be elected before it takes over from another leader: longer than the half second for which a
/// leader is not elected after one failed call to the store, and much shorter than the wait for a lease.
const TAKEOVER_DWELL: Duration = Duration::from_millis(1500);

/// State of the host that orders stage changes.
#[derive(Debug, Default)]
pub(super) struct StageController {
    pub lease: OrderLease,
    pub planners: HashMap<ServiceKey, StagePlanner>,
    pub orders: ChangeOrders,
    /// Whether this host has taken over the changes that the previous leader left in progress.
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

/// Periodically checks whether the sizes of the pools fit the work.
pub(super) async fn run_stages(host: Arc<GatewayHost>) {
    let mut ticker = tokio::time::interval(PLAN_PERIOD);
    ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut controller = StageController::default();
    let dwell = if host.settings.features.steady_pools { TAKEOVER_DWELL } else { Duration::ZERO };
    let mut tenure = LeaderTenure::new(dwell);
    let mut rounds = 0_u32;
    loop {
        ticker.tick().await;
        match tenure.update(host.now(), host.is_order_leader()) {
            LeaderRole::Leader => {}
            LeaderRole::Suspended => continue,
            LeaderRole::Follower | LeaderRole::Candidate => {
                // The lease is kept: a takeover that waits for the former lease continues to wait if this host is
                // elected again.
                controller =
                    StageController { lease: controller.lease, ..StageController::default() };
                host.state().stage_changes.retain_orders(|_| false);
                continue;
            }
        }
        if !may_issue_orders(host.now().since(TimePoint::CLOCK_START)) {
            continue;
        }
        if !controller.is_leader {
            host.acquire_leadership(&mut controller).await;
        } else if controller.lease.is_unsettled() {
            host.settle_lease(&mut controller).await;
        }
        let lease = &controller.lease;
        let is_waiting = lease.is_waiting(host.now()) || lease.is_unsettled();
        if is_waiting && !host.settings.features.steady_pools {
            continue;
        }
        let changes = host.plan_changes(&mut controller, is_waiting);
        rounds += 1;
        if rounds.is_multiple_of(NOTICE_ROUNDS)
            && host.state().stage_changes.ordered().next().is_some()
        {
            host.broadcast_notices();
        }
        for batch in changes.chunks(MAX_BATCH_ORDERS) {
            host.order_batch(&mut controller, batch).await;
        }
    }
}

impl GatewayHost {
    /// Whether this host is the leader that orders stage changes.
    fn is_order_leader(&self) -> bool {
        self.stop_phase() == StopPhase::Serving && self.is_elected_leader()
    }

    /// Whether this host is the leader, which makes the decisions that a single host must make for all: the oldest
    /// reachable host that the store answers.
    pub(super) fn is_elected_leader(&self) -> bool {
        let now = self.now();
        let state = self.state();
        let reachable = state.members.reachable(now).map(|member| member.incarnation);
        state.refused_hosts.elect(now, reachable) == Some(self.incarnation)
    }

    /// Becomes the leader. Changes that the previous leader ordered are recorded as in progress and not planned
    /// again, and the wait for its lease starts now instead of with the first plan.
    async fn acquire_leadership(&self, controller: &mut StageController) {
        let now = self.now();
        {
            let state = self.state();
            for (key, to) in state.stage_changes.announced(now) {
                controller.orders.record_ordered(now, key, to, CHANGE_TIME);
            }
        }
        controller.is_leader = true;
        let outcome = match self.renew_lease(&mut controller.lease).await {
            Ok(()) => "written".to_owned(),
            // The first order tries to renew the lease again, or the next round if the outcome is unknown.
            Err(error) => error.to_string(),
        };
        log::info!(
            "event=office_taken lease=\"{outcome}\" under_way={}",
            controller.orders.pending_count()
        );
    }

    /// Reads the lease after a takeover without an answer, so that the wait for the former holder starts now instead of
    /// with the first plan.
    async fn settle_lease(&self, controller: &mut StageController) {
        if let Err(error) = self.renew_lease(&mut controller.lease).await {
            log::info!("event=lease_unsettled cause=\"{error}\"");
        }
    }

    /// Plans the changes that are due. While the host waits for its lease there are none, but the planners observe the
    /// pools, so that a lasting imbalance is known when the wait ends.
    fn plan_changes(
        &self,
        controller: &mut StageController,
        is_waiting: bool,
    ) -> Vec<PlannedChange> {
        let now = self.now();
        let mut state = self.state();
        let state = &mut *state;
        controller.orders.expire(now, |key| state.fleet.entry(key).map(|entry| entry.stage));
        state.stage_changes.retain_orders(|key| controller.orders.target_stage(key).is_some());
        let mut changes = Vec::new();
        for (service, spec) in state.routes.services() {
            let Some(engine) = &spec.engine else { continue };
            let sums = state.work_sums(now, service);
            let Some(work) = sums.request_work(engine.memory_tokens) else { continue };
            let sizes = pool_sizes(state, now, service, &controller.orders);
            let planner = controller.planners.entry(service).or_default();
            let Some(to) = planner.decide(now, sizes, work) else { continue };
            if is_waiting {
                continue;
            }
            let requests = sums.requests_per_second(state.members.living().count());
            if has_spare_capacity(to, sizes, work, requests) {
                continue;
            }
            let step = change_batch_size(sizes, work);
            for server in select_servers(state, now, service, to, step, controller) {
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

/// Number of servers in each pool; a server that changes its stage counts in its target pool.
fn pool_sizes(
    state: &GatewayState,
    now: TimePoint,
    service: ServiceKey,
    orders: &ChangeOrders,
) -> PoolSizes {
    let mut sizes = PoolSizes { prefills: 0, decodes: 0 };
    for entry in state.fleet.ready(service).filter(|entry| accepts_work(state, now, entry)) {
        match orders.target_stage(entry.key()).or(entry.stage) {
            Some(ServerStage::Prefill) => sizes.prefills += 1,
            Some(ServerStage::Decode) => sizes.decodes += 1,
            None => {}
        }
    }
    sizes
}

fn accepts_work(state: &GatewayState, now: TimePoint, entry: &ServerEntry) -> bool {
    state.server_health.get(&entry.key()).is_none_or(|health| health.admits(now))
}

/// Selects `count` servers of the other stage to change: those in the failure domains with the most
/// candidates first, and the least loaded within a domain.
fn select_servers(
    state: &GatewayState,
    now: TimePoint,
    service: ServiceKey,
    to: ServerStage,
    count: usize,
    controller: &StageController,
) -> Vec<ServerEntry> {
    let mut candidates: Vec<&ServerEntry> = state
        .fleet
        .ready_in_stage(service, to.other())
        .filter(|entry| {
            !controller.orders.is_excluded(entry.key()) && accepts_work(state, now, entry)
        })
        .collect();
    let mut in_domain: HashMap<NameKey, usize> = HashMap::new();
    for entry in &candidates {
        *in_domain.entry(entry.domain).or_default() += 1;
    }
    let tokens_of = |entry: &ServerEntry| {
        let load = state.server_loads.total(entry.key());
        load.memory_tokens + load.prompt_tokens
    };
    let mut chosen = Vec::new();
    while chosen.len() < count {
        let domain_count =
            |entry: &ServerEntry| in_domain.get(&entry.domain).copied().unwrap_or_default();
        let best = candidates
            .iter()
            .enumerate()
            .min_by_key(|(_, entry)| (Reverse(domain_count(entry)), tokens_of(entry)))
            .map(|(index, _)| index);
        let Some(index) = best else { break };
        let entry = candidates.swap_remove(index);
        *in_domain.entry(entry.domain).or_default() -= 1;
        chosen.push(entry.clone());
    }
    chosen
}
