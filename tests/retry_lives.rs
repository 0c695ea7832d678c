//! Retries over all lives of all hosts of a site: whatever is lost with them, their sum stays within the platform's bound.

use rstest::rstest;
use std::time::{Duration, Instant};
use tealcleat::bench::site::RepeatSum;
use tealcleat::keys::{NameKey, TimePoint, mix_hash};
use tealcleat::retries::{
    OwnShare, RetryBounds, RetryPools, RetryRequest, RetryShare, RetryWindow, assumed_hosts,
};

const SERVICE: NameKey = NameKey(1);
const DOMAINS: usize = 3;
const WINDOW: Duration = Duration::from_secs(10);
const STEP_MS: u64 = 20;
const END_MS: u64 = 60_000;
/// How long a host that just started knows no other host, and how long until it knows all that it reaches.
const ALONE_MS: u64 = 300;
const JOIN_MS: u64 = 1_000;
/// How long a killed host stays down.
const DOWN_MS: u64 = 400;

/// What happens to the hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SiteFault {
    /// Nothing.
    None,
    /// All hosts are killed each three seconds.
    AllKilled,
    /// Six in ten hosts are killed each two seconds.
    MostKilled,
    /// The failure domains are cut off from each other for 14 s in every 28, and all hosts are killed as the cuts begin, so
    /// that they meet the hosts of their own domain only.
    KilledBehindCuts,
    /// Half of the hosts stand still for four seconds in every eight.
    Paused,
}

/// One life of a host.
struct HostLife {
    started_ms: u64,
    window: RetryWindow,
    pools: RetryPools,
    /// Whether it was cut off from the other failure domains when it started.
    starts_cut_off: bool,
}

impl HostLife {
    fn start(started_ms: u64, starts_cut_off: bool) -> Self {
        let (window, pools) = (RetryWindow::default(), RetryPools::default());
        Self { started_ms, window, pools, starts_cut_off }
    }

    /// The present time on the host's clock.
    fn now(&self, millis: u64) -> TimePoint {
        TimePoint::from_millis(millis - self.started_ms)
    }
}

/// A site whose hosts need a retry for each of their requests.
struct RetrySite {
    fault: SiteFault,
    bounds: RetryBounds,
    lives: Vec<HostLife>,
    asked: Vec<Instant>,
    retries: Vec<Instant>,
    origin: Instant,
}

impl RetrySite {
    fn new(hosts: usize, fault: SiteFault) -> Self {
        let bounds = RetryBounds { ratio: 0.2, slack: 156.0, window: WINDOW, domains: DOMAINS };
        let lives = (0..hosts).map(|_| HostLife::start(0, false)).collect();
        let (asked, retries, origin) = (Vec::new(), Vec::new(), Instant::now());
        Self { fault, bounds, lives, asked, retries, origin }
    }

    fn is_cut(&self, millis: u64) -> bool {
        self.fault == SiteFault::KilledBehindCuts && millis % 28_000 < 14_000
    }

    /// Kills hosts, which start again under [`HostLife::start`].
    fn disturb(&mut self, millis: u64) {
        let (period, tenths) = match self.fault {
            SiteFault::None | SiteFault::Paused => return,
            SiteFault::AllKilled => (3_000, 10),
            SiteFault::MostKilled => (2_000, 6),
            SiteFault::KilledBehindCuts => (14_000, 10),
        };
        if !millis.is_multiple_of(period) || millis == 0 {
            return;
        }
        let is_cut = self.is_cut(millis);
        for (host, life) in self.lives.iter_mut().enumerate() {
            if mix_hash(millis, host as u64) % 10 < tenths {
                *life = HostLife::start(millis + DOWN_MS, is_cut);
            }
        }
    }

    fn is_down(&self, millis: u64, host: usize) -> bool {
        let is_paused =
            self.fault == SiteFault::Paused && host.is_multiple_of(2) && millis % 8_000 < 4_000;
        self.lives[host].started_ms > millis || is_paused
    }

    /// Hosts that a host knows, itself included.
    fn known(&self, millis: u64, host: usize) -> usize {
        let age = millis - self.lives[host].started_ms;
        let all = self.lives.len();
        let reached = if self.lives[host].starts_cut_off && self.is_cut(millis) {
            all / DOMAINS
        } else {
            all
        };
        match age {
            _ if age < ALONE_MS => 1,
            _ if age < JOIN_MS => (reached / 10).max(2),
            _ => reached.max(1),
        }
    }

    /// The owner of a host's pool, as the host believes: hosts that know few others choose among these.
    fn owner(&self, millis: u64, host: usize) -> Option<usize> {
        let known = self.known(millis, host);
        if known < 2 {
            return None;
        }
        // Hosts that know few others choose among these.
        let in_domain = (host % DOMAINS..self.lives.len()).step_by(DOMAINS);
        let parts = (in_domain.len() / (known / DOMAINS).max(1)).max(1);
        let parts = if self.is_joined(millis, host) { 1 } else { parts };
        let is_met = |other: usize| other / DOMAINS % parts == host / DOMAINS % parts;
        in_domain.filter(|other| is_met(*other) && !self.is_down(millis, *other)).min()
    }

    fn is_joined(&self, millis: u64, host: usize) -> bool {
        millis - self.lives[host].started_ms >= JOIN_MS
    }

    fn own_share(&self, millis: u64, host: usize) -> OwnShare {
        let known = self.known(millis, host);
        let known_here = (self.lives.len() / DOMAINS).min(known);
        let hosts = assumed_hosts(&self.bounds, known, known_here);
        let age = self.lives[host].now(millis).since(TimePoint::default());
        OwnShare::new(&self.bounds, age, (known > 1).then_some(hosts))
    }

    fn try_retry(&mut self, millis: u64, host: usize) -> bool {
        let (bounds, share) = (self.bounds, self.own_share(millis, host));
        let life = &mut self.lives[host];
        let now = life.now(millis);
        if life.window.try_take(now, &bounds, share, 1) {
            return true;
        }
        let Some(owner) = self.owner(millis, host) else { return false };
        // Each of several owners of a domain believes that it sees the whole domain.
        let share = RetryShare::for_domain(&bounds, 1, 1);
        let request = RetryRequest { sequence: 0, service: SERVICE, count: 1 };
        let life = &mut self.lives[owner];
        let now = life.now(millis);
        let is_settled = self.fault == SiteFault::None && now.0 >= WINDOW.as_micros() as i64;
        life.pools.receive(now, &request, &share, is_settled)
    }

    /// How much more callers ask than usual: those that were cut off come back as the hosts start again.
    fn crowd(&self, millis: u64) -> u64 {
        let is_return = self.lives.iter().any(|life| {
            life.started_ms > 0 && millis >= life.started_ms && millis < life.started_ms + JOIN_MS
        });
        if is_return { 8 } else { 1 }
    }

    fn run(&mut self, requests_per_s: u64) {
        let mut due = 0;
        for millis in (0..END_MS).step_by(STEP_MS as usize) {
            self.disturb(millis);
            due += requests_per_s * STEP_MS * self.crowd(millis);
            for draw in 0..due / 1_000 {
                let host = mix_hash(millis, draw) as usize % self.lives.len();
                let at = self.origin + Duration::from_millis(millis);
                self.asked.push(at);
                if self.is_down(millis, host) {
                    continue;
                }
                let (bounds, life) = (self.bounds, &mut self.lives[host]);
                let now = life.now(millis);
                life.window.record_request(now, &bounds);
                if self.try_retry(millis, host) {
                    self.retries.push(at);
                }
            }
            due %= 1_000;
            self.check_owners(millis);
        }
    }

    /// Each host checks its ownership while it stands.
    fn check_owners(&mut self, millis: u64) {
        for host in 0..self.lives.len() {
            if !self.is_down(millis, host) {
                let is_owner = self.owner(millis, host) == Some(host);
                let life = &mut self.lives[host];
                let now = life.now(millis);
                life.pools.check_ownership(now, |_| is_owner);
            }
        }
    }
}

/// Guards against hosts that together grant more than the slack: each life of a host had its share of the slack anew, and
/// one that knew no other host yet took a tenth of what belongs to all.
#[rstest]
fn retries_of_all_lives_bounded(
    #[values(10, 58, 300, 1_000)] hosts: usize,
    #[values(
        SiteFault::None,
        SiteFault::AllKilled,
        SiteFault::MostKilled,
        SiteFault::KilledBehindCuts,
        SiteFault::Paused
    )]
    fault: SiteFault,
    #[values(40, 600)] requests_per_s: u64,
) {
    let mut site = RetrySite::new(hosts, fault);
    site.run(requests_per_s);
    let sum = RepeatSum::at(site.retries.clone());
    let excess = sum.worst_excess(&site.bounds, &site.asked);
    assert_eq!(excess, None, "of {} retries", sum.count());
    assert!(sum.count() > 0, "no retry was allowed");
}
