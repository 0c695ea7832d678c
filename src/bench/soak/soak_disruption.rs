//! Checks that confirmed configurations and server states take effect at each host in time, despite disruptions.

use super::host_disruption::HostDisruption;
use super::propagation_probe::PropagationProbe;
use super::soak_check::{SoakRecord, SoakViolation};
use super::soak_cluster::SoakCluster;
use super::soak_options::SoakOptions;
use crate::Result;
use crate::bench::links::ProxyMode;
use crate::bench::site::StoreFault;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use std::time::Duration;
use tokio::time::sleep;

/// Time within which a confirmed change must be in effect at each host. The requirement is 2 s; the rest allows for
/// the load of many processes on one machine. For a host that a disruption affects, the time starts when the
/// disruption ends.
const PROPAGATION_BOUND: Duration = Duration::from_millis(3000);
const DISRUPTION_INTERVAL: Duration = Duration::from_millis(1000);
/// Number of changes before the first disruption. They make hosts request updates from each other, so that persistent
/// connections between them exist.
const WARM_UP_CHANGES: u32 = 16;
const WARM_UP_PAUSE: Duration = Duration::from_millis(150);
/// Number of changes while the store is unavailable, and the pause before each of them.
const OUTAGE_CHANGES: u32 = 8;
const OUTAGE_PAUSE: Duration = Duration::from_millis(500);
/// Probability that a link is stalled or a host is killed, if a disruption does not affect all of them.
const PARTIAL_PROBABILITY: f64 = 0.33;
const DISRUPTION_SALT: u64 = 0xf0_4ce5;

/// A disruption during which changes are confirmed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SoakDisruption {
    /// No disruption.
    Calm,
    /// All open connections stall.
    AllSilent,
    /// The open connections of some links stall.
    SomeSilent,
    /// The store is unavailable to all hosts while the operator confirms changes.
    StoreAway,
    /// Like `StoreAway`, and the store has compacted the history of these changes when it becomes available.
    StoreForgets,
    /// Some hosts are killed.
    Killed,
    /// Hosts are partitioned from the others or frozen.
    Hosts(HostDisruption),
}

impl SoakDisruption {
    /// The disruptions of a soak test that stalls connections.
    const STALLING: [Self; 6] = [
        Self::Calm,
        Self::AllSilent,
        Self::SomeSilent,
        Self::StoreAway,
        Self::StoreForgets,
        Self::Killed,
    ];

    /// Returns the disruptions of a soak test in random order.
    fn draw_all(options: &SoakOptions, domains: usize, random: &mut StdRng) -> Vec<Self> {
        let mut disruptions = Vec::new();
        if options.stalls_connections {
            disruptions.extend(Self::STALLING);
        }
        if options.partitions_network {
            let domain = random.random_range(0..domains);
            disruptions.extend(HostDisruption::all(domain).map(Self::Hosts));
        }
        disruptions.shuffle(random);
        disruptions
    }
}

impl SoakCluster {
    /// Confirms changes during each disruption and probes whether they take effect at each host. Callers continue to
    /// send requests meanwhile, and the links between hosts and to the store have little bandwidth.
    pub async fn check_propagation(
        &mut self,
        options: &SoakOptions,
    ) -> Result<(Vec<SoakViolation>, Vec<SoakRecord>)> {
        let mut random = StdRng::seed_from_u64(options.seed ^ DISRUPTION_SALT);
        let (mut violations, mut records) = (Vec::new(), Vec::new());
        let disruptions = SoakDisruption::draw_all(options, self.domains, &mut random);
        if disruptions.is_empty() {
            return Ok((violations, records));
        }
        let host_connections = self.host_links.iter().map(|link| &link.connections);
        for link in host_connections.chain(&self.store_links) {
            link.set(ProxyMode::Narrow);
        }
        for _ in 0..WARM_UP_CHANGES {
            self.confirm_version();
            sleep(WARM_UP_PAUSE).await;
        }
        for disruption in disruptions {
            let draining = random.random_range(0..self.site.services.len());
            self.fault_log.record_disruption(&format!("{disruption:?}, {draining} leaves"))?;
            let new_probe = |cluster: &Self, phase: &str| PropagationProbe {
                name: format!("s{}-{disruption:?}-{phase}", options.seed).replace(['(', ')'], ""),
                version: cluster.version,
                draining,
            };
            match disruption {
                SoakDisruption::Hosts(disruption) => {
                    let unaffected = self
                        .begin_disruption(disruption, draining, PROPAGATION_BOUND, &mut random)
                        .await?;
                    let probe = new_probe(self, "beside");
                    violations.extend(self.probe_hosts(&probe, &unaffected, &mut records).await);
                    self.end_disruption(disruption, &mut random).await?;
                }
                _ => self.apply_disruption(disruption, draining, &mut random).await?,
            }
            self.fault_log.record_disruption(&format!("version {} confirmed", self.version))?;
            sleep(PROPAGATION_BOUND).await;
            let all: Vec<usize> = (0..self.hosts.len()).collect();
            let probe = new_probe(self, "after");
            violations.extend(self.probe_hosts(&probe, &all, &mut records).await);
            self.write_service_entry(draining, "ready");
            self.restart_crashed().await?;
            sleep(DISRUPTION_INTERVAL).await;
        }
        Ok((violations, records))
    }

    /// Applies a disruption that takes no time of its own, then confirms a change and drains a server.
    async fn apply_disruption(
        &mut self,
        disruption: SoakDisruption,
        draining: usize,
        random: &mut StdRng,
    ) -> Result<()> {
        match disruption {
            SoakDisruption::Calm => {}
            SoakDisruption::AllSilent => self.stall_connections(1.0, random),
            SoakDisruption::SomeSilent => self.stall_connections(PARTIAL_PROBABILITY, random),
            SoakDisruption::StoreAway | SoakDisruption::StoreForgets => {
                self.change_during_outage(disruption, draining).await;
                return Ok(());
            }
            SoakDisruption::Killed => {
                for host in &self.hosts {
                    if random.random_bool(PARTIAL_PROBABILITY) {
                        host.signal("-KILL")?;
                    }
                }
                sleep(WARM_UP_PAUSE).await;
                self.wait_ready().await?;
            }
            // `begin_disruption` runs these, because their steps take time.
            SoakDisruption::Hosts(_) => return Ok(()),
        }
        self.confirm_version();
        self.write_service_entry(draining, "draining");
        Ok(())
    }

    /// Confirms changes while the store is unavailable.
    async fn change_during_outage(&mut self, disruption: SoakDisruption, draining: usize) {
        self.site.store.set_fault(StoreFault::Busy);
        for _ in 0..OUTAGE_CHANGES {
            sleep(OUTAGE_PAUSE).await;
            self.confirm_version();
        }
        self.write_service_entry(draining, "draining");
        if disruption == SoakDisruption::StoreForgets {
            self.site.store.change(|objects| objects.compact());
        }
        self.site.store.set_fault(StoreFault::None);
    }

    /// Stalls the open connections of links between hosts, to the store and to servers, each link with this
    /// probability.
    pub fn stall_connections(&self, probability: f64, random: &mut StdRng) {
        let host_connections = self.host_links.iter().map(|link| &link.connections);
        for link in host_connections.chain(&self.store_links).chain(&self.links) {
            if random.random_bool(probability) {
                link.stall_open_connections();
            }
        }
    }
}
