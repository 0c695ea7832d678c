//! Checks what is left behind when something changes hands: orders after lost answers of the lease, calls that were given up
//! beside cuts, and servers that left while hosts were cut off.

use super::first_try::{FirstTry, TryPlan, open_connections};
use super::partition_group::PartitionGroup;
use super::server_cut::ServerCut;
use super::soak_check::{SoakRecord, SoakViolation};
use super::soak_cluster::SoakCluster;
use super::soak_options::SoakOptions;
use crate::Result;
use crate::bench::links::{PartitionScope, ProxyMode};
use crate::bench::site::{AcceptedOrder, StoreFault};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::net::SocketAddr;
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
/// How long the links are cut, how long hosts lack their own paths before, and how long arrivals are watched afterwards.
const CUT_TIME: Duration = Duration::from_millis(3500);
const DETOUR_TIME: Duration = Duration::from_millis(2500);
const WATCH_TIME: Duration = Duration::from_millis(1500);
/// A call that ended this long before the end of a cut is not delivered after it.
const GIVE_UP_TIME: Duration = Duration::from_millis(1000);
/// How long hosts are cut off while a server leaves, and how long after its removal no host in touch sends to it.
const AWAY_TIME: Duration = Duration::from_millis(5500);
const REMOVAL_TIME: Duration = Duration::from_millis(2500);
/// How long callers ask after the return of the hosts that were cut off.
const RETURN_TIME: Duration = Duration::from_millis(3000);
const TRY_PAUSE: Duration = Duration::from_millis(30);
/// Number of requests that a violation names.
const NAMED: usize = 4;
const HANDOVER_SALT: u64 = 0x4a_0d0f;

/// What was found.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HandoverTally {
    /// Orders that engines accepted while the lease changed hands.
    pub orders: usize,
    /// Calls that ended before the end of a cut.
    pub given_up: usize,
    /// Requests to hosts in touch after a server had left.
    pub asked: usize,
}

/// What a cut of the links meets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CutLinks {
    /// The paths to the servers.
    Servers,
    /// The links between hosts of which some have lost their own paths to the servers.
    Hosts(PartitionGroup),
}

/// What happens to hosts in the middle of a cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CutShock {
    Nothing,
    Kill(PartitionGroup),
    Stop(usize),
}

impl SoakCluster {
    /// Plays all three, in an order that depends on the seed. Returns violations; adds the requests to `records`.
    pub async fn check_handovers(
        &mut self,
        options: &SoakOptions,
        records: &mut Vec<SoakRecord>,
        tally: &mut HandoverTally,
    ) -> Result<Vec<SoakViolation>> {
        let mut random = StdRng::seed_from_u64(options.seed ^ HANDOVER_SALT);
        let name = format!("s{}-over", options.seed);
        let mut violations = Vec::new();
        let first = random.random_range(0..3);
        for part in (0..3).map(|index| (first + index) % 3) {
            self.restart_crashed().await?;
            let name = format!("{name}{part}");
            let tries = match part {
                0 => self.stop_leaders(&mut random, &name, tally, &mut violations).await?,
                1 => self.cut_calls(&mut random, &name, tally, &mut violations).await?,
                _ => self.remove_servers(&mut random, &name, tally, &mut violations).await?,
            };
            for FirstTry { record, violation, .. } in tries {
                records.push(record);
                violations.extend(violation);
            }
        }
        Ok(violations)
    }

    fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.hosts.iter().map(|host| host.callers).collect()
    }

    /// Stops the host that ordered last, right after an order and more than once, while the store loses the answers of writes.
    async fn stop_leaders(
        &mut self,
        random: &mut StdRng,
        name: &str,
        tally: &mut HandoverTally,
        violations: &mut Vec<SoakViolation>,
    ) -> Result<Vec<FirstTry>> {
        let begun = Instant::now();
        let former_intervals: Vec<Duration> =
            self.site.decodes.iter().map(|engine| engine.event_interval()).collect();
        for engine in &self.site.decodes {
            engine.set_event_interval(EVENT_INTERVAL);
        }
        let hosts = self.caller_addresses();
        let plan = TryPlan { tokens: Some(LOAD_TOKENS), ..even_tries(LOAD_TIME) };
        let mut random = StdRng::seed_from_u64(random.random());
        let loading = open_connections(name, &hosts, plan, &mut random);
        let (tries, stopped) = tokio::join!(loading, self.stop_after_orders(begun));
        stopped?;
        for (engine, interval) in self.site.decodes.iter().zip(former_intervals) {
            engine.set_event_interval(interval);
        }
        for engine in self.site.decodes.iter().chain(&self.site.prefills) {
            let mut orders = engine.orders();
            orders.retain(|order| order.at >= begun);
            tally.orders += orders.len();
            violations.extend(early_turn(&engine.id, &orders));
        }
        Ok(tries)
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
        let engines = self.site.decodes.iter().chain(&self.site.prefills);
        let last =
            engines.filter_map(|engine| engine.orders().pop()).max_by_key(|order| order.at)?;
        let host = (0..self.hosts.len()).find(|index| last.holder == format!("host-{index}"))?;
        Some((host, last.at))
    }

    /// Cuts links while callers ask, and checks what arrives after the cut.
    async fn cut_calls(
        &mut self,
        random: &mut StdRng,
        name: &str,
        tally: &mut HandoverTally,
        violations: &mut Vec<SoakViolation>,
    ) -> Result<Vec<FirstTry>> {
        let third = PartitionGroup::Third(random.random_range(0..2));
        let stopped = random.random_range(0..self.hosts.len());
        let rounds = [
            (CutLinks::Servers, CutShock::Nothing),
            (CutLinks::Servers, CutShock::Kill(third)),
            (CutLinks::Hosts(PartitionGroup::Domain(0)), CutShock::Nothing),
            (CutLinks::Hosts(third), CutShock::Stop(stopped)),
        ];
        let mut all = Vec::new();
        for ((links, shock), index) in rounds.into_iter().zip(0..) {
            self.fault_log.record_disruption(&format!("handover: {links:?} {shock:?}"))?;
            if let CutLinks::Hosts(group) = links {
                self.begin_server_cut(group, ServerCut::Hang)?;
                sleep(DETOUR_TIME).await;
            }
            self.set_links(links, ProxyMode::Cut);
            let (hosts, name) = (self.caller_addresses(), format!("{name}-{index}"));
            let plan = even_tries(CUT_TIME / 2);
            let mut tries = open_connections(&format!("{name}a"), &hosts, plan, random).await;
            match shock {
                CutShock::Nothing => {}
                CutShock::Kill(group) => {
                    let hit =
                        (0..self.hosts.len()).filter(|host| group.contains(*host, self.domains));
                    hit.into_iter().try_for_each(|host| self.hosts[host].signal("-KILL"))?;
                }
                CutShock::Stop(host) => self.hosts[host].signal("-TERM")?,
            }
            tries.extend(open_connections(&format!("{name}b"), &hosts, plan, random).await);
            let healed_at = Instant::now();
            self.set_links(links, ProxyMode::Pass);
            sleep(WATCH_TIME).await;
            if let CutLinks::Hosts(group) = links {
                self.end_server_cut(group, ServerCut::Hang)?;
            }
            let given_up: BTreeMap<&str, Instant> = tries
                .iter()
                .map(|first_try| (first_try.record.id.as_str(), first_try.ended_at.into_std()))
                .filter(|(_, ended_at)| *ended_at + GIVE_UP_TIME <= healed_at)
                .collect();
            tally.given_up += given_up.len();
            let late = self.arrivals_since(healed_at, |id| given_up.contains_key(id));
            violations.extend(violation("what was given up is not delivered later", &late));
            self.wait_ready().await?;
            all.extend(tries);
        }
        Ok(all)
    }

    fn set_links(&self, links: CutLinks, mode: ProxyMode) {
        match links {
            CutLinks::Servers => self.links.iter().for_each(|link| link.set(mode)),
            CutLinks::Hosts(_) => {
                self.host_links.iter().for_each(|link| link.connections.set(mode));
            }
        }
    }

    /// Takes a plain server away while hosts are cut off, and checks that hosts in touch do not send to it again.
    async fn remove_servers(
        &mut self,
        random: &mut StdRng,
        name: &str,
        tally: &mut HandoverTally,
        violations: &mut Vec<SoakViolation>,
    ) -> Result<Vec<FirstTry>> {
        let groups = [
            PartitionGroup::Host(random.random_range(0..self.hosts.len())),
            PartitionGroup::Domain(random.random_range(0..self.domains)),
        ];
        let mut all = Vec::new();
        for (group, index) in groups.into_iter().zip(0..) {
            let leaving = random.random_range(0..self.site.services.len());
            let server = self.site.services[leaving].id.clone();
            self.fault_log
                .record_disruption(&format!("handover: {server} leaves, {group:?} away"))?;
            self.begin_partition(group, PartitionScope::All);
            sleep(AWAY_TIME / 4).await;
            self.site.store.change(|objects| objects.remove("servers", &server));
            sleep(AWAY_TIME / 4 * 3).await;
            self.end_partition(group, PartitionScope::All);
            let in_touch =
                (0..self.hosts.len()).filter(|host| !group.contains(*host, self.domains));
            let hosts: Vec<SocketAddr> = in_touch.map(|host| self.hosts[host].callers).collect();
            let plan = even_tries(RETURN_TIME);
            let tries = open_connections(&format!("{name}-{index}"), &hosts, plan, random).await;
            tally.asked += tries.len();
            let prefix = format!("{name}-{index}-");
            let arrivals = self.site.services[leaving].arrivals.requests();
            let late = arrivals.into_iter().map(|arrival| arrival.request);
            let late: Vec<String> = late.filter(|id| id.starts_with(&prefix)).collect();
            violations.extend(violation("hosts in touch send nothing to servers that left", &late));
            self.write_service_entry(leaving, "ready");
            sleep(REMOVAL_TIME).await;
            all.extend(tries);
        }
        Ok(all)
    }

    /// The requests for which `is_wanted` holds that arrived at servers since `from`.
    fn arrivals_since(&self, from: Instant, is_wanted: impl Fn(&str) -> bool) -> Vec<String> {
        let engines = self.site.decodes.iter().chain(&self.site.prefills);
        let engines = engines.map(|engine| &engine.arrivals);
        let services = self.site.services.iter().map(|service| &service.arrivals);
        let arrivals = engines.chain(services).flat_map(|arrivals| arrivals.requests());
        let late = arrivals.filter(|arrival| arrival.at >= from && is_wanted(&arrival.request));
        late.map(|arrival| arrival.request).collect()
    }
}

/// Tries that are spread evenly over the hosts.
const fn even_tries(time: Duration) -> TryPlan {
    TryPlan { time, pause: TRY_PAUSE, target: None, tokens: None }
}

fn violation(guarantee: &'static str, concerned: &[String]) -> Option<SoakViolation> {
    let named: Vec<&str> = concerned.iter().take(NAMED).map(String::as_str).collect();
    let detail = format!("{}: {}", concerned.len(), named.join(", "));
    (!concerned.is_empty()).then_some(SoakViolation { guarantee, detail })
}

/// Orders of two hosts to one engine within the lease.
fn early_turn(engine: &str, orders: &[AcceptedOrder]) -> Option<SoakViolation> {
    let turn = orders.windows(2).find(|pair| {
        pair[0].holder != pair[1].holder && pair[1].at.duration_since(pair[0].at) < LEASE
    })?;
    let detail = format!("{engine}: {turn:?}");
    Some(SoakViolation { guarantee: "orders of two hosts are apart by the lease", detail })
}
