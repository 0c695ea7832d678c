//! Checks that orders of two hosts are apart by the lease, where the store loses the answers of the lease beside stops.

use super::first_try::{TryPlan, open_connections};
use super::handover_record::{HandoverRecord, even_tries};
use super::soak_check::SoakViolation;
use super::soak_cluster::SoakCluster;
use crate::Result;
use crate::bench::site::{AcceptedOrder, StoreFault};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// The lease of the daemons' settings.
const LEASE: Duration = Duration::from_millis(3000);
/// How long the store loses the answers of writes after the host that orders is stopped.
const LOST_TIME: Duration = Duration::from_millis(2500);
/// How long callers ask for long answers, which more decode servers are needed for.
const LOAD_TIME: Duration = Duration::from_secs(30);
const LOAD_TOKENS: &str = "6000,1000";
const EVENT_INTERVAL: Duration = Duration::from_millis(190);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

impl SoakCluster {
    /// Stops the host that ordered last, right after an order and more than once, while the store loses the answers of writes.
    pub async fn stop_leaders(&mut self, name: &str, record: &mut HandoverRecord) -> Result<()> {
        let begun = Instant::now();
        let former_intervals: Vec<Duration> =
            self.site.decodes.iter().map(|engine| engine.event_interval()).collect();
        for engine in &self.site.decodes {
            engine.set_event_interval(EVENT_INTERVAL);
        }
        let hosts = self.caller_addresses();
        let plan = TryPlan { tokens: Some(LOAD_TOKENS), ..even_tries(LOAD_TIME) };
        let mut random = StdRng::seed_from_u64(record.random.random());
        let loading = open_connections(name, &hosts, plan, &mut random);
        let (tries, stopped) = tokio::join!(loading, self.stop_after_orders(begun));
        stopped?;
        record.tries.extend(tries);
        for (engine, interval) in self.site.decodes.iter().zip(former_intervals) {
            engine.set_event_interval(interval);
        }
        for engine in self.engines() {
            let mut orders = engine.orders();
            orders.retain(|order| order.at >= begun);
            record.tally.orders += orders.len();
            record.violations.extend(early_turn(&engine.id, &orders));
        }
        Ok(())
    }

    /// Stops each host that orders, as long as the load lasts.
    async fn stop_after_orders(&mut self, begun: Instant) -> Result<()> {
        let mut seen = begun;
        while begun.elapsed() + LOST_TIME < LOAD_TIME {
            sleep(POLL_INTERVAL).await;
            let Some((leader, at)) = self.last_order().filter(|(_, at)| *at > seen) else {
                continue;
            };
            seen = at;
            self.fault_log.record_disruption(&format!("handover: host {leader} stops"))?;
            self.site.store.set_fault(StoreFault::LoseWrites);
            self.hosts[leader].signal("-TERM")?;
            sleep(LOST_TIME).await;
            self.site.store.set_fault(StoreFault::None);
            self.wait_ready().await?;
        }
        self.wait_ready().await
    }

    /// The host that gave the last order, and when.
    fn last_order(&self) -> Option<(usize, Instant)> {
        let orders = self.engines().filter_map(|engine| engine.orders().pop());
        let last = orders.max_by_key(|order| order.at)?;
        let host = (0..self.hosts.len()).find(|index| last.holder == format!("host-{index}"))?;
        Some((host, last.at))
    }
}

/// Orders of two hosts to one engine within the lease.
fn early_turn(engine: &str, orders: &[AcceptedOrder]) -> Option<SoakViolation> {
    let turn = orders.windows(2).find(|pair| {
        pair[0].holder != pair[1].holder && pair[1].at.duration_since(pair[0].at) < LEASE
    })?;
    let detail = format!("{engine}: {turn:?}");
    Some(SoakViolation { guarantee: "orders of two hosts are apart by the lease", detail })
}
