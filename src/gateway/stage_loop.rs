//! Moves servers between the pools of a service: one host decides, under a lease in the store.

use super::engine_hold::call_engine;
use super::gateway_host::{GatewayHost, StopPhase};
use super::gateway_state::GatewayState;
use crate::fleet::{ServerEntry, ServerStage};
use crate::keys::{NameKey, TimePoint};
use crate::orders::{
    ChangeOrders, OrderLease, OrderOutcome, PoolSizes, StagePlanner, servers_to_change,
};
use crate::placement::rendezvous_owner;
use crate::platform::{
    EngineReport, LEASE_OBJECT, StageOrder, StoreWrite, decode_lease, decode_report, encode_lease,
    report_call, stage_call,
};
use crate::routes::{EngineSpec, ServiceKey};
use crate::{Error, Result};
use std::cmp::Reverse;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

const LOOK_PERIOD: Duration = Duration::from_millis(500);
const STORE_LIMIT: Duration = Duration::from_millis(700);
const ENGINE_LIMIT: Duration = Duration::from_millis(300);
/// What the host that gives orders is elected for.
const STAGE_ORDERS: u64 = 0x5374_6167;

#[derive(Debug, Default)]
struct StageDesk {
    lease: OrderLease,
    planners: HashMap<ServiceKey, StagePlanner>,
    orders: ChangeOrders,
}

/// A change that should be ordered.
#[derive(Debug)]
struct PlannedChange {
    service: ServiceKey,
    engine: EngineSpec,
    server: ServerEntry,
    to: ServerStage,
}

/// Looks now and then whether the pools fit the work.
pub(super) async fn run_stages(host: Arc<GatewayHost>) {
    let mut ticker = tokio::time::interval(LOOK_PERIOD);
    ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut desk = StageDesk::default();
    loop {
        ticker.tick().await;
        if !host.gives_orders() {
            // A takeover that waits goes on waiting if this host is elected again.
            desk = StageDesk { lease: desk.lease, ..StageDesk::default() };
            host.state().changes.retain_ordered(|_| false);
            continue;
        }
        if desk.lease.is_waiting(host.now()) {
            continue;
        }
        let changes = host.plan_changes(&mut desk);
        if host.state().changes.ordered().next().is_some() {
            host.tell_everyone();
        }
        for change in changes {
            let outcome = host.order_change(&mut desk, &change).await;
            host.note_outcome(&mut desk, &change, outcome);
        }
    }
}

impl GatewayHost {
    /// Whether this host is the one that gives orders.
    fn gives_orders(&self) -> bool {
        if self.stop_phase() != StopPhase::Serving {
            return false;
        }
        let now = self.now();
        let answered = {
            let state = self.state();
            state.refused.answered(now, state.members.living())
        };
        let owner = rendezvous_owner(STAGE_ORDERS, answered.into_iter());
        owner.is_some_and(|member| member.incarnation == self.incarnation)
    }

    fn plan_changes(&self, desk: &mut StageDesk) -> Vec<PlannedChange> {
        let now = self.now();
        let mut state = self.state();
        let state = &mut *state;
        desk.orders.forget(now, |key| state.fleet.entry(key).map(|entry| entry.stage));
        state.changes.retain_ordered(|key| desk.orders.heads_to(key).is_some());
        let mut changes = Vec::new();
        for (service, spec) in state.routes.services() {
            let Some(engine) = &spec.engine else { continue };
            let sums = state.work_sums(now, service);
            let Some(work) = sums.request_work(engine.memory_tokens) else { continue };
            let sizes = pool_sizes(state, now, service, &desk.orders);
            let planner = desk.planners.entry(service).or_default();
            let Some(to) = planner.decide(now, sizes, work) else { continue };
            let step = servers_to_change(sizes, work);
            for server in best_to_change(state, now, service, to, step, desk) {
                log::info!(
                    "event=stage_planned server={} to={} prefills={} decodes={} read_s={:.3} \
                     decode_s={:.3}",
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

    /// Takes note of what came of an order. Only what was really tried makes the planner pause: while
    /// hosts restart in turn, each giver waits for the last one's lease, and pauses on top of that
    /// left the pools as they were for 19 s.
    fn note_outcome(
        &self,
        desk: &mut StageDesk,
        change: &PlannedChange,
        outcome: Result<OrderOutcome>,
    ) {
        let now = self.now();
        let (key, server, to) = (change.server.key(), &change.server.id, change.to.name());
        match outcome {
            Ok(OrderOutcome::Sent) => {}
            Ok(OrderOutcome::UnderWay) => {
                log::info!("event=stage_under_way server={server} to={to}");
                desk.orders.note_open(now, key, change.to, change.engine.stage_change);
                self.state().changes.note_ordered(key, change.to);
            }
            Ok(OrderOutcome::LeaseWaits) => {
                log::info!("event=stage_not_ordered server={server} to={to} cause=lease_waits");
            }
            Err(error) => {
                log::info!("event=stage_not_ordered server={server} to={to} cause=\"{error}\"");
                desk.planners.entry(change.service).or_default().note_tried(now);
                desk.orders.note_failed(now, key);
            }
        }
    }

    async fn order_change(
        &self,
        desk: &mut StageDesk,
        change: &PlannedChange,
    ) -> Result<OrderOutcome> {
        if desk.lease.is_waiting(self.now()) {
            return Ok(OrderOutcome::LeaseWaits);
        }
        let report = self.ask_report(&change.server).await?;
        if report.busy || report.stage == Some(change.to) {
            return Ok(OrderOutcome::UnderWay);
        }
        self.renew_lease(&mut desk.lease).await?;
        let Some(fence) = desk.lease.fence(self.now()) else {
            return Ok(OrderOutcome::LeaseWaits);
        };
        let order = StageOrder {
            stage: change.to,
            holder: &self.settings.host,
            fence,
            orders_taken: report.orders_taken,
        };
        let now = self.now();
        desk.orders.note_open(now, change.server.key(), change.to, change.engine.stage_change);
        desk.planners.entry(change.service).or_default().note_tried(now);
        let call = stage_call(&change.server, &order);
        let answer = call_engine(self, &change.server, call, ENGINE_LIMIT).await;
        let (server, to) = (&change.server.id, change.to.name());
        match answer {
            Ok((status, _)) => {
                log::info!(
                    "event=stage_ordered server={server} to={to} fence={fence} answer={status}"
                );
                if status.is_success() {
                    self.state().changes.note_ordered(change.server.key(), change.to);
                    self.tell_everyone();
                } else {
                    desk.orders.note_refused(change.server.key());
                }
            }
            // It may have been taken, or may be carried out later: the open order stays.
            Err(error) => {
                log::info!(
                    "event=stage_ordered server={server} to={to} fence={fence} cause=\"{error}\""
                );
            }
        }
        Ok(OrderOutcome::Sent)
    }

    async fn ask_report(&self, server: &ServerEntry) -> Result<EngineReport> {
        let (status, body) = call_engine(self, server, report_call(server), ENGINE_LIMIT).await?;
        if !status.is_success() {
            return Err(Error::Refused(format!("the engine answered {status} to a report")));
        }
        decode_report(&body)
    }

    /// Writes the next fence into the store.
    async fn renew_lease(&self, lease: &mut OrderLease) -> Result<()> {
        let (kind, name) = LEASE_OBJECT;
        let object = self.store.read(kind, name, STORE_LIMIT).await?;
        let held = object.as_ref().map(|object| decode_lease(&object.spec)).transpose()?;
        let record = OrderLease::next_record(held.as_ref(), &self.settings.host);
        let expected = object.map(|object| object.revision);
        let sent_at = self.now();
        let spec = encode_lease(&record);
        let written = self.store.write(kind, name, expected, &spec, STORE_LIMIT).await;
        match written {
            StoreWrite::Written(_) => {
                let now = self.now();
                let length = self.state().bounds.lease;
                lease.note_written(sent_at, now, held.as_ref(), &record, length);
                Ok(())
            }
            StoreWrite::Conflict => Err(Error::Refused("another host holds the lease".to_owned())),
            StoreWrite::Refused => Err(Error::Refused("the store refused the lease".to_owned())),
            StoreWrite::Lost => Err(Error::Timeout),
        }
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
        match orders.heads_to(entry.key()).or(entry.stage) {
            Some(ServerStage::Prefill) => sizes.prefills += 1,
            Some(ServerStage::Decode) => sizes.decodes += 1,
            None => {}
        }
    }
    sizes
}

fn takes_work(state: &GatewayState, now: TimePoint, entry: &ServerEntry) -> bool {
    state.health.get(&entry.key()).is_none_or(|health| health.admits(now))
}

/// The `count` servers of the other stage with the least work, best where their stage is most
/// common.
fn best_to_change(
    state: &GatewayState,
    now: TimePoint,
    service: ServiceKey,
    to: ServerStage,
    count: usize,
    desk: &StageDesk,
) -> Vec<ServerEntry> {
    let from = match to {
        ServerStage::Decode => ServerStage::Prefill,
        ServerStage::Prefill => ServerStage::Decode,
    };
    let mut candidates: Vec<&ServerEntry> = state
        .fleet
        .ready_at(service, from)
        .filter(|entry| !desk.orders.leaves_alone(entry.key()) && takes_work(state, now, entry))
        .collect();
    let mut in_domain: HashMap<NameKey, usize> = HashMap::new();
    for entry in &candidates {
        *in_domain.entry(entry.domain).or_default() += 1;
    }
    let work = |entry: &ServerEntry| {
        let load = state.board.total(now, entry.key());
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
