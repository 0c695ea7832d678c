use super::send_parts::{
    CONTACT, Flight, LimitedServer, OpenSend, SendBody, SendHost, WorldRequest,
};
use super::world_host::meet_all;
use super::world_net::WorldNet;
use super::{InjectedBug, WorldReport};
use crate::keys::TimePoint;
use crate::server_limits::{CallRank, ServerLimit};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use std::time::Duration;

pub(super) const DOMAINS: usize = 3;
const SERVERS: usize = 9;
const STEP: Duration = Duration::from_millis(10);
const NEWS_STEPS: u64 = 10;
const TRAIL_STEPS: u64 = 20;
const MEET_STEPS: u64 = 20;
/// Steps between two faults, and between two changes of limits, on average.
const FAULT_STEPS: u32 = 400;
const CHANGE_STEPS: u32 = 300;
/// Limits, in requests a second; at hundreds of hosts all are far below one for each host.
const LIMITS: [&str; 6] = ["0.3", "0.8", "2", "3.3", "5", "8"];
/// Steps without limits at first.
const FREE_STEPS: u64 = 500;

/// How a world of servers' limits is run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SendPlan {
    /// Draws everything.
    pub seed: u64,
    /// Steps of 10 ms.
    pub steps: u64,
    /// Hosts of each of three failure domains.
    pub domain_hosts: usize,
    /// Requests a second, over all hosts.
    pub rate: u32,
    /// Hosts are cut off, suspended and killed, alone and together, and limits change.
    pub has_faults: bool,
    /// All servers name limits; else a third of them does.
    pub all_limited: bool,
}

#[derive(Debug)]
pub(super) struct SendWorld {
    pub rng: StdRng,
    pub now: TimePoint,
    turn: u64,
    plan: SendPlan,
    pub hosts: Vec<SendHost>,
    pub net: WorldNet<SendBody>,
    pub servers: Vec<LimitedServer>,
    /// Until when faults excuse each host.
    pub excused_until: Vec<TimePoint>,
    pub open: Vec<OpenSend>,
    pub flights: Vec<Flight>,
    pub bug: InjectedBug,
    pub report: WorldReport,
}

/// Runs the world of servers' limits: hosts of three failure domains, few or many by the seed, before servers that
/// name limits, lower them, take them back and name them again.
pub fn run_send_world(seed: u64, steps: u64, bug: InjectedBug) -> WorldReport {
    let domain_hosts = [2, 2, 7, 30][usize::try_from(seed % 4).unwrap_or_default()];
    let rate = 120;
    let plan = SendPlan {
        seed,
        steps,
        domain_hosts,
        rate,
        has_faults: true,
        all_limited: seed.is_multiple_of(3),
    };
    run_send_plan(plan, bug)
}

/// Runs it as planned.
pub fn run_send_plan(plan: SendPlan, bug: InjectedBug) -> WorldReport {
    let hosts = plan.domain_hosts * DOMAINS;
    let mut world = SendWorld {
        rng: StdRng::seed_from_u64(plan.seed),
        now: TimePoint::from_millis(20_000),
        turn: 0,
        plan,
        hosts: (0..hosts).map(|place| SendHost::new(place, hosts, plan.domain_hosts)).collect(),
        net: WorldNet::new(hosts, plan.domain_hosts),
        servers: (0..SERVERS).map(|place| LimitedServer::new(place, place % DOMAINS)).collect(),
        excused_until: vec![TimePoint::default(); hosts],
        open: Vec::new(),
        flights: Vec::new(),
        bug,
        report: WorldReport::default(),
    };
    for _ in 0..plan.steps {
        world.step();
    }
    world.report.steps = plan.steps;
    let counted: u64 = world.servers.iter().map(|server| server.counted).sum();
    let allowed: f64 = world.servers.iter().map(|server| server.allowed).sum();
    world.report.used_permille = (counted as f64 * 1000.0 / allowed.max(1.0)) as u64;
    world.report
}

impl SendWorld {
    fn step(&mut self) {
        self.now = self.now + STEP;
        self.turn += 1;
        if self.turn == FREE_STEPS {
            self.name_limits();
        }
        if self.plan.has_faults && self.turn > FREE_STEPS {
            self.strike();
            self.change_limits();
        }
        self.net.heal(self.now);
        if self.turn.is_multiple_of(MEET_STEPS) {
            meet_all(&mut self.hosts, &self.net, self.now);
        }
        for parcel in self.net.due(self.now) {
            self.deliver(parcel);
        }
        self.give_up_asks();
        self.land_flights();
        self.arrive();
        if self.turn.is_multiple_of(NEWS_STEPS) {
            (0..self.hosts.len()).for_each(|place| self.tell_news(place));
        }
        if self.turn.is_multiple_of(TRAIL_STEPS) {
            self.tell_trails();
        }
        let now = self.now;
        self.servers.iter_mut().for_each(|server| server.allow(now, STEP));
    }

    fn name_limits(&mut self) {
        for place in 0..self.servers.len() {
            if self.plan.all_limited || place % 3 == 0 {
                self.name_limit(place);
            }
        }
    }

    fn name_limit(&mut self, place: usize) {
        let limit = LIMITS[self.rng.random_range(0..LIMITS.len())];
        self.servers[place].limit = ServerLimit::try_from(limit).ok();
    }

    fn change_limits(&mut self) {
        if self.rng.random_range(0..CHANGE_STEPS) != 0 {
            return;
        }
        let place = self.rng.random_range(0..self.servers.len());
        if self.servers[place].limit.is_some() && self.rng.random_bool(0.3) {
            self.servers[place].limit = None;
        } else if self.servers[place].limit.is_some() || self.plan.all_limited {
            self.name_limit(place);
        }
    }

    fn strike(&mut self) {
        if self.rng.random_range(0..FAULT_STEPS) != 0 {
            return;
        }
        self.report.faults += 1;
        let until = self.now + Duration::from_millis(self.rng.random_range(1000..6000));
        match self.rng.random_range(0..6) {
            0 => {
                let domain = self.rng.random_range(0..DOMAINS);
                self.net.cut_domain(domain, until);
                let hosts = self.plan.domain_hosts;
                (domain * hosts..(domain + 1) * hosts).for_each(|place| self.excuse(place, until));
            }
            1 => self.each_host(0.33, |world, place| {
                world.net.cut_host(place, until);
                world.excuse(place, until);
            }),
            2 => self.each_host(0.33, |world, place| {
                world.hosts[place].suspended_until = until;
                world.excuse(place, until);
            }),
            3 => self.each_host(0.2, Self::restart),
            4 => self.each_host(1.0, Self::restart),
            _ => {
                let host = self.rng.random_range(0..self.hosts.len());
                self.restart(host);
            }
        }
    }

    fn each_host(&mut self, part: f64, mut hit: impl FnMut(&mut Self, usize)) {
        for place in 0..self.hosts.len() {
            if self.rng.random_bool(part) {
                hit(self, place);
            }
        }
    }

    fn restart(&mut self, place: usize) {
        let away = Duration::from_millis(self.rng.random_range(300..1500));
        self.hosts[place].restart(self.now + away);
        self.excuse(place, self.now + away);
    }

    /// A host that suffers a fault until then counts again when it has been in touch for long enough.
    fn excuse(&mut self, place: usize, until: TimePoint) {
        self.excused_until[place] = self.excused_until[place].max(until + CONTACT);
    }

    fn arrive(&mut self) {
        let expected = f64::from(self.plan.rate) * STEP.as_secs_f64();
        let more = self.rng.random_bool(expected.fract());
        for _ in 0..expected as u64 + u64::from(more) {
            let place = self.rng.random_range(0..self.hosts.len());
            if !self.hosts[place].runs(self.now) {
                continue;
            }
            self.report.tried += 1;
            let mut servers: Vec<usize> = (0..self.servers.len()).collect();
            servers.shuffle(&mut self.rng);
            let rank = CallRank::new(0, self.rng.random_range(0..3));
            self.send_on(place, WorldRequest { rank, servers });
        }
    }
}
