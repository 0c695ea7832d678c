//! Limits that a soak's servers name, and what they get then.

use super::soak_check::SoakViolation;
use super::soak_run::SoakStage;
use crate::Result;
use crate::bench::site::{LimitAnnouncement, LimitExcess, SiteArrivals};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Limits that are named, in requests a second; callers want some twenty and more of each server.
const LIMITS: [f64; 5] = [0.8, 2.0, 3.3, 5.0, 8.0];
/// One answer of so many may leave the limit out.
const SILENT_EACH: usize = 7;
/// Servers that name a limit at the end.
const LIMITED: usize = 4;
/// Traffic without limits before that.
const FREE_TIME: Duration = Duration::from_millis(1500);
/// All hosts know after this, and a window has passed.
const KNOWN_TIME: Duration = Duration::from_millis(4500);
const LOOK: Duration = Duration::from_millis(100);
/// How long a host is suspended then.
const SUSPENDED_TIME: Duration = Duration::from_secs(2);

impl SoakStage {
    /// A server names a limit, another one, or none.
    pub fn change_limit(&self, random: &mut StdRng) {
        let place = random.random_range(0..self.links.len());
        let speech = draw_speech(random);
        self.arrivals(place).set(speech);
    }

    /// No server names a limit any more.
    pub fn take_limits_back(&self) {
        for place in 0..self.links.len() {
            self.arrivals(place).set(LimitAnnouncement::default());
        }
    }

    fn arrivals(&self, place: usize) -> &SiteArrivals {
        let engines = self.site.decodes.len() + self.site.prefills.len();
        match place.checked_sub(engines) {
            Some(service) => &self.site.services[service].arrivals,
            None => &self.engine(place).arrivals,
        }
    }

    /// While callers go on and all else is calm but for a host that is killed and one that is suspended, servers name
    /// limits, and none gets more than it named.
    pub async fn check_limits(&mut self, seed: u64) -> Result<Vec<SoakViolation>> {
        let mut random = StdRng::seed_from_u64(seed);
        for place in 0..self.links.len() {
            self.arrivals(place).clear();
        }
        self.keep_up(FREE_TIME).await?;
        let servers = self.links.len();
        let first = random.random_range(0..servers);
        for place in (first..first + LIMITED).map(|place| place % servers) {
            let limit = LIMITS[random.random_range(0..LIMITS.len())];
            self.arrivals(place).set(LimitAnnouncement::of(limit));
        }
        self.keep_up(KNOWN_TIME).await?;
        self.disturb(&mut random).await?;
        self.keep_up(KNOWN_TIME).await?;
        let violations = self.over_limits();
        self.take_limits_back();
        Ok(violations)
    }

    async fn disturb(&mut self, random: &mut StdRng) -> Result<()> {
        let killed = random.random_range(0..self.hosts.len());
        let suspended = (killed + 1) % self.hosts.len();
        self.hosts[killed].signal("-KILL")?;
        self.hosts[suspended].suspend()?;
        self.keep_up(SUSPENDED_TIME).await?;
        self.hosts[suspended].resume()?;
        self.wait_ready().await
    }

    /// Time passes in which callers' requests go on crashing servers: those start again.
    async fn keep_up(&mut self, time: Duration) -> Result<()> {
        let ends = Instant::now() + time;
        while Instant::now() < ends {
            self.restart_crashed().await?;
            sleep(LOOK).await;
        }
        Ok(())
    }

    fn over_limits(&self) -> Vec<SoakViolation> {
        let engines = self.site.decodes.iter().chain(&self.site.prefills);
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

fn draw_speech(random: &mut StdRng) -> LimitAnnouncement {
    if random.random_bool(0.3) {
        return LimitAnnouncement::default();
    }
    let omit_every = if random.random_bool(0.3) { SILENT_EACH } else { 0 };
    LimitAnnouncement {
        omit_every,
        ..LimitAnnouncement::of(LIMITS[random.random_range(0..LIMITS.len())])
    }
}
