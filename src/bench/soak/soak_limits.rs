//! Server limits in a soak test: servers announce them, and hosts must not exceed them.

use super::soak_check::SoakViolation;
use super::soak_cluster::SoakCluster;
use crate::Result;
use crate::bench::site::{LimitAnnouncement, LimitExcess, SiteArrivals};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Limits that servers announce, in requests per second. Callers would otherwise send more than twenty to each server.
const LIMITS: [f64; 5] = [0.8, 2.0, 3.3, 5.0, 8.0];
/// A server may omit the limit from one of this many answers.
const OMIT_EVERY: usize = 7;
/// Number of servers that announce a limit in the final check.
const LIMITED_SERVERS: usize = 4;
/// Duration of the traffic without limits before the final check.
const UNLIMITED_TIME: Duration = Duration::from_millis(1500);
/// Time after which all hosts know the limits and a whole window has passed.
const SETTLE_TIME: Duration = Duration::from_millis(4500);
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// How long a host is suspended in the final check.
const SUSPENSION_TIME: Duration = Duration::from_secs(2);

impl SoakCluster {
    /// Makes a random server announce a limit, a different one, or none.
    pub fn change_limit(&self, random: &mut StdRng) {
        let index = random.random_range(0..self.links.len());
        let announcement = draw_announcement(random);
        self.arrivals(index).set(announcement);
    }

    /// Makes all servers stop announcing limits.
    pub fn clear_limits(&self) {
        for index in 0..self.links.len() {
            self.arrivals(index).set(LimitAnnouncement::default());
        }
    }

    fn arrivals(&self, index: usize) -> &SiteArrivals {
        let engines = self.site.decodes.len() + self.site.prefills.len();
        match index.checked_sub(engines) {
            Some(service) => &self.site.services[service].arrivals,
            None => &self.engine(index).arrivals,
        }
    }

    /// Checks that no server receives more requests than the limit that it announces allows. Callers continue to send
    /// requests meanwhile. The only faults are the kill of one host and the suspension of another.
    pub async fn check_limits(&mut self, seed: u64) -> Result<Vec<SoakViolation>> {
        let mut random = StdRng::seed_from_u64(seed);
        for index in 0..self.links.len() {
            self.arrivals(index).clear();
        }
        self.keep_servers_running(UNLIMITED_TIME).await?;
        let servers = self.links.len();
        let first = random.random_range(0..servers);
        for index in (first..first + LIMITED_SERVERS).map(|index| index % servers) {
            let limit = LIMITS[random.random_range(0..LIMITS.len())];
            self.arrivals(index).set(LimitAnnouncement::of(limit));
        }
        self.keep_servers_running(SETTLE_TIME).await?;
        self.disrupt_hosts(&mut random).await?;
        self.keep_servers_running(SETTLE_TIME).await?;
        let violations = self.limit_violations();
        self.clear_limits();
        Ok(violations)
    }

    /// Kills one host, suspends the next one for a while, and waits until all hosts are ready.
    async fn disrupt_hosts(&mut self, random: &mut StdRng) -> Result<()> {
        let killed = random.random_range(0..self.hosts.len());
        let suspended = (killed + 1) % self.hosts.len();
        self.hosts[killed].signal("-KILL")?;
        self.hosts[suspended].suspend()?;
        self.keep_servers_running(SUSPENSION_TIME).await?;
        self.hosts[suspended].resume()?;
        self.wait_ready().await
    }

    /// Waits for `time` and restarts the servers that callers' requests crash meanwhile.
    async fn keep_servers_running(&mut self, time: Duration) -> Result<()> {
        let deadline = Instant::now() + time;
        while Instant::now() < deadline {
            self.restart_crashed().await?;
            sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    fn limit_violations(&self) -> Vec<SoakViolation> {
        let engines = self.engines();
        let engines = engines.map(|engine| (&engine.id, &engine.arrivals));
        let services = self.site.services.iter().map(|server| (&server.id, &server.arrivals));
        let all = engines.chain(services);
        all.filter_map(|(id, arrivals)| Some(violation(id, arrivals.worst_excess()?))).collect()
    }
}

fn violation(id: &str, excess: LimitExcess) -> SoakViolation {
    let LimitExcess { arrived, allowed } = excess;
    let detail = format!("{id}: {arrived} requests in 4 s, {allowed:.1} allowed");
    SoakViolation { guarantee: "no server gets more than its limit allows", detail }
}

fn draw_announcement(random: &mut StdRng) -> LimitAnnouncement {
    if random.random_bool(0.3) {
        return LimitAnnouncement::default();
    }
    let omit_every = if random.random_bool(0.3) { OMIT_EVERY } else { 0 };
    LimitAnnouncement {
        omit_every,
        ..LimitAnnouncement::of(LIMITS[random.random_range(0..LIMITS.len())])
    }
}
