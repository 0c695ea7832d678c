//! Begins and ends the faults of a soak test.

use super::partition_group::PartitionGroup;
use super::server_cut::ServerCut;
use super::soak_burst::{BurstStep, draw_burst};
use super::soak_cluster::SoakCluster;
use super::soak_fault::{FaultTargets, SoakFault, draw_fault};
use super::soak_options::SoakOptions;
use super::soak_rogues::CROWD_SALT;
use crate::Result;
use crate::bench::links::{PartitionScope, ProxyMode};
use crate::bench::site::{EngineFault, RestartAddress, ServiceFault, SiteEngine, StoreFault};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Longest pause between two draws. Most faults last longer, so that they overlap.
const MAX_GAP_MS: u64 = 400;
/// Probability that a draw is a burst instead of a single fault.
const BURST_PROBABILITY: f64 = 0.2;
/// Probability that a draw also restarts a server. The salt separates these random draws from others of the same seed.
const RESTART_PROBABILITY: f64 = 0.15;
const RESTART_SALT: u64 = 0x7e57_a127;

/// Probability that a draw also suspends a host, the salt of these random draws, and the bounds of the duration.
const SUSPEND_PROBABILITY: f64 = 0.15;
const SUSPEND_SALT: u64 = 0x5059_e4d0;
const MIN_SUSPEND_MS: u64 = 200;
const MAX_SUSPEND_MS: u64 = 3000;
/// Probability that a draw also changes the limit of a server, and the salt of these random draws.
const LIMIT_PROBABILITY: f64 = 0.5;
const LIMIT_SALT: u64 = 0x11a1_7ed5;
/// Probability that a draw also stalls open connections, the salt of these random draws, and the probability that a
/// link is affected if not all of them are.
const STALL_PROBABILITY: f64 = 0.12;
const STALL_SALT: u64 = 0x51_1e9c;
const STALLED_LINK_PROBABILITY: f64 = 0.3;
/// Probability that a draw also begins a network partition, the salt of these random draws, and the range of
/// durations.
const PARTITION_PROBABILITY: f64 = 0.25;
const PARTITION_SALT: u64 = 0xc0_7ab1e;
const PARTITION_MS: Range<u64> = 300..5500;
/// Probability that a draw also separates hosts from all servers, the salt of these random draws, and the range of
/// durations.
const SERVER_CUT_PROBABILITY: f64 = 0.15;
const SERVER_CUT_SALT: u64 = 0x5e_c07ed;
const SERVER_CUT_MS: Range<u64> = 300..5500;
/// How long a server stays down after it crashed under a request.
const DOWNTIME_MS: Range<u64> = 300..2500;

/// A fault that has begun, and the time at which it ends.
type ActiveFault = (SoakFault, Instant);

impl SoakCluster {
    /// Injects faults for the duration that `options` sets. Returns how many it injected.
    pub async fn inject_faults(&mut self, options: &SoakOptions) -> Result<u64> {
        let mut random = StdRng::seed_from_u64(options.seed);
        let mut restarts = StdRng::seed_from_u64(options.seed ^ RESTART_SALT);
        let mut suspensions = StdRng::seed_from_u64(options.seed ^ SUSPEND_SALT);
        let mut limits = StdRng::seed_from_u64(options.seed ^ LIMIT_SALT);
        let mut stalls = StdRng::seed_from_u64(options.seed ^ STALL_SALT);
        let mut partitions = StdRng::seed_from_u64(options.seed ^ PARTITION_SALT);
        let mut server_cuts = StdRng::seed_from_u64(options.seed ^ SERVER_CUT_SALT);
        let mut crowds = StdRng::seed_from_u64(options.seed ^ CROWD_SALT);
        let mut rogues = std::mem::take(&mut self.rogues);
        let mut restart_times = BTreeMap::new();
        let targets = self.fault_targets();
        let deadline = Instant::now() + options.duration;
        let mut active: Vec<ActiveFault> = Vec::new();
        let mut count = 0;
        while Instant::now() < deadline {
            for step in draw_steps(&mut random, targets) {
                self.begin_fault(step.fault)?;
                count += 1;
                active.push((step.fault, Instant::now() + step.duration));
                sleep(step.pause).await;
            }
            if restarts.random_bool(RESTART_PROBABILITY) {
                self.restart_server(restarts.random_range(0..self.links.len())).await?;
                count += 1;
            }
            if options.suspends_hosts && suspensions.random_bool(SUSPEND_PROBABILITY) {
                let fault = SoakFault::Suspend(suspensions.random_range(0..targets.hosts));
                self.begin_fault(fault)?;
                count += 1;
                let duration_ms = suspensions.random_range(MIN_SUSPEND_MS..MAX_SUSPEND_MS);
                active.push((fault, Instant::now() + Duration::from_millis(duration_ms)));
            }
            if options.limits_servers && limits.random_bool(LIMIT_PROBABILITY) {
                self.change_limit(&mut limits);
                count += 1;
            }
            if options.stalls_connections && stalls.random_bool(STALL_PROBABILITY) {
                let probability =
                    if stalls.random_bool(0.5) { 1.0 } else { STALLED_LINK_PROBABILITY };
                self.fault_log.record_disruption(&format!("silence of {probability}"))?;
                self.stall_connections(probability, &mut stalls);
                count += 1;
            }
            if options.partitions_network && partitions.random_bool(PARTITION_PROBABILITY) {
                let fault = draw_partition(&mut partitions, targets.hosts, self.domains);
                self.begin_fault(fault)?;
                count += 1;
                let duration = Duration::from_millis(partitions.random_range(PARTITION_MS));
                active.push((fault, Instant::now() + duration));
            }
            if options.cuts_servers && server_cuts.random_bool(SERVER_CUT_PROBABILITY) {
                let group = PartitionGroup::draw(&mut server_cuts, targets.hosts, self.domains);
                let fault = SoakFault::ServerCut(group, ServerCut::draw(&mut server_cuts));
                self.begin_fault(fault)?;
                count += 1;
                let duration = Duration::from_millis(server_cuts.random_range(SERVER_CUT_MS));
                active.push((fault, Instant::now() + duration));
            }
            if options.sends_rogues {
                rogues.step(self, &mut crowds).await;
            }
            count += self.restart_due(&mut restart_times, &mut restarts).await?;
            let gap = random.random_range(0..MAX_GAP_MS);
            sleep(Duration::from_millis(gap)).await;
            self.end_due(&mut active)?;
        }
        count += rogues.crowds;
        self.rogues = rogues;
        Ok(count)
    }

    /// Crashes a server and restarts it under the same id, behind the same link.
    async fn restart_server(&mut self, index: usize) -> Result<()> {
        self.fault_log.record_restart(index)?;
        if self.mixes_versions && self.site.servers[index].stage.is_some() {
            return self.advance_version(index).await;
        }
        let id = &self.site.servers[index].id;
        self.site.begin_incarnation(id, RestartAddress::Same).await?;
        self.site.write_incarnation_entry(id, self.answer_links[index].address)
    }

    /// Restarts crashed servers whose downtime is over. The downtime is drawn when a crash is first seen. Returns the
    /// number of crashes that were first seen in this call.
    pub async fn restart_due(
        &mut self,
        restart_times: &mut BTreeMap<usize, Instant>,
        random: &mut StdRng,
    ) -> Result<u64> {
        let now = Instant::now();
        let mut new_crashes = 0;
        for index in self.crashed_servers()? {
            let restart_time = *restart_times.entry(index).or_insert_with(|| {
                new_crashes += 1;
                now + Duration::from_millis(random.random_range(DOWNTIME_MS))
            });
            if restart_time <= now {
                restart_times.remove(&index);
                self.restart_server(index).await?;
            }
        }
        Ok(new_crashes)
    }

    /// Restarts all servers that are down. Returns how many were down.
    pub async fn restart_crashed(&mut self) -> Result<usize> {
        let down = self.crashed_servers()?;
        for index in &down {
            self.restart_server(*index).await?;
        }
        Ok(down.len())
    }

    fn crashed_servers(&self) -> Result<Vec<usize>> {
        let mut down = Vec::new();
        for (server, index) in self.site.servers.iter().zip(0..) {
            if self.site.incarnation_switch(&server.id)?.is_down() {
                down.push(index);
            }
        }
        Ok(down)
    }

    fn fault_targets(&self) -> FaultTargets {
        FaultTargets {
            engines: self.site.decodes.len() + self.site.prefills.len(),
            services: self.site.services.len(),
            links: self.links.len(),
            hosts: self.hosts.len(),
        }
    }

    /// Ends the faults whose time is over. A fault whose host is still shutting down is checked again later.
    fn end_due(&mut self, active: &mut Vec<ActiveFault>) -> Result<()> {
        let now = Instant::now();
        let (due, mut remaining): (Vec<_>, Vec<_>) =
            active.drain(..).partition(|(_, end)| *end <= now);
        for (fault, end) in due {
            if !self.end_fault(fault)? {
                remaining.push((fault, end));
            }
        }
        *active = remaining;
        Ok(())
    }

    fn begin_fault(&mut self, fault: SoakFault) -> Result<()> {
        self.fault_log.record_start(fault)?;
        match fault {
            SoakFault::Store(fault) => self.site.store.set_fault(fault),
            SoakFault::StoreForgets => self.site.store.change(|objects| objects.compact()),
            SoakFault::Engine(index, fault) => self.engine(index).set_fault(fault),
            SoakFault::Service(index, fault) => self.site.services[index].set_fault(fault),
            SoakFault::Link(index, mode) => self.links[index].set(mode),
            SoakFault::Answers(index, fault) => self.answer_links[index].set_fault(Some(fault)),
            SoakFault::HostStore(index, mode) => self.store_links[index].set(mode),
            SoakFault::StoreAnswers(index, fault) => {
                self.store_answers[index].set_fault(Some(fault))
            }
            SoakFault::Kill(index) => self.hosts[index].signal("-KILL")?,
            SoakFault::Stop(index) => self.hosts[index].signal("-TERM")?,
            SoakFault::Pause(index) => self.hosts[index].signal("-STOP")?,
            SoakFault::Suspend(index) => self.hosts[index].suspend()?,
            SoakFault::Cut(group, scope) => self.begin_partition(group, scope),
            SoakFault::ServerCut(group, cut) => self.begin_server_cut(group, cut)?,
            SoakFault::Reload(index) => self.hosts[index].signal("-HUP")?,
            SoakFault::Configure => self.confirm_version(),
            SoakFault::DrainServer(index) => self.write_service_entry(index, "draining"),
        }
        Ok(())
    }

    /// Ends a fault. Returns false if it cannot end yet because its host is still shutting down.
    fn end_fault(&mut self, fault: SoakFault) -> Result<bool> {
        match fault {
            SoakFault::Store(_) => self.site.store.set_fault(StoreFault::None),
            SoakFault::Engine(index, _) => self.engine(index).set_fault(EngineFault::None),
            SoakFault::Service(index, _) => self.site.services[index].set_fault(ServiceFault::None),
            SoakFault::Link(index, _) => self.links[index].set(ProxyMode::Pass),
            SoakFault::Answers(index, _) => self.answer_links[index].set_fault(None),
            SoakFault::HostStore(index, _) => self.store_links[index].set(ProxyMode::Pass),
            SoakFault::StoreAnswers(index, _) => self.store_answers[index].set_fault(None),
            SoakFault::Kill(index) | SoakFault::Stop(index) => {
                if !self.hosts[index].has_ended() {
                    return Ok(false);
                }
                self.hosts[index].restart()?;
            }
            SoakFault::Pause(index) | SoakFault::Suspend(index) => self.hosts[index].resume()?,
            SoakFault::Cut(group, scope) => self.end_partition(group, scope),
            SoakFault::ServerCut(group, cut) => self.end_server_cut(group, cut)?,
            SoakFault::DrainServer(index) => self.write_service_entry(index, "ready"),
            SoakFault::StoreForgets | SoakFault::Reload(_) | SoakFault::Configure => {}
        }
        self.fault_log.record_end(fault)?;
        Ok(true)
    }

    /// Returns an engine by its index. Decode engines come first.
    pub fn engine(&self, index: usize) -> &Arc<SiteEngine> {
        let decodes = self.site.decodes.len();
        self.site.decodes.get(index).unwrap_or_else(|| &self.site.prefills[index - decodes])
    }

    /// Writes the entry of a server of the plain service. `index` counts only the servers of that service, which come
    /// last in the list of all servers.
    pub fn write_service_entry(&self, index: usize, state: &str) {
        let index = self.site.decodes.len() + self.site.prefills.len() + index;
        let server = &self.site.servers[index];
        let address = self.answer_links[index].address;
        self.site.write_entry(&server.id, server.service, address, server.stage, state);
    }
}

fn draw_partition(random: &mut StdRng, hosts: usize, domains: usize) -> SoakFault {
    let scope = if random.random_bool(0.5) { PartitionScope::All } else { PartitionScope::Hosts };
    SoakFault::Cut(PartitionGroup::draw(random, hosts, domains), scope)
}

/// Draws the next faults: a single one or a burst.
fn draw_steps(random: &mut StdRng, targets: FaultTargets) -> Vec<BurstStep> {
    if random.random_bool(BURST_PROBABILITY) {
        return draw_burst(random, targets);
    }
    let (fault, duration) = draw_fault(random, targets);
    vec![BurstStep { fault, duration, pause: Duration::ZERO }]
}
