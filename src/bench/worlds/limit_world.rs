use super::limit_parts::{LimitHost, OpenAsk, ParcelBody, UseWindow};
use super::world_host::meet_all;
use super::world_net::WorldNet;
use super::{InjectedBug, WorldReport};
use crate::keys::{OrgKey, TimePoint};
use crate::limits::{LimitBounds, OwnerChoice};
use crate::organisations::{LimitUnit, OrgLimit};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

pub(super) const DOMAINS: usize = 3;
/// Hosts of a domain, by the seed.
const DOMAIN_HOSTS: [usize; 2] = [10, 29];
const STEP: Duration = Duration::from_millis(10);
/// An owner that has not answered by then counts as silent.
pub(super) const ANSWER_LIMIT: Duration = Duration::from_millis(60);
const TELL_STEPS: u64 = 25;
const MEET_STEPS: u64 = 10;
/// Steps between two faults, on average.
const FAULT_STEPS: u32 = 250;
/// A request is about half of a domain's part of a second, as long prompts are.
const REQUEST_UNITS: std::ops::RangeInclusive<u32> = 2_000..=12_000;
/// Units a second of small and large organisations: of the large ones the tolerance is the smaller part.
const RATES: [f64; 3] = [36_000.0, 80_000.0, 186_000.0];
pub(super) const BOUNDS: LimitBounds =
    LimitBounds { window: Duration::from_secs(8), over: 0.1, slack: 140_000.0, domains: DOMAINS };
/// What callers ask for at most times, and while one organisation sends many times its usual, as parts of
/// its limit.
const USUAL_LOAD: f64 = 0.55;
const HOT_LOAD: f64 = 4.0;

#[derive(Debug)]
pub(super) struct LimitWorld {
    pub rng: StdRng,
    pub now: TimePoint,
    turn: u64,
    pub hosts: Vec<LimitHost>,
    pub net: WorldNet<ParcelBody>,
    pub open: Vec<OpenAsk>,
    pub window: UseWindow,
    pub limit: OrgLimit,
    load: f64,
    pub bug: InjectedBug,
    pub report: WorldReport,
}

/// Runs the world of one organisation's limit: hosts of three failure domains that grant, borrow and tell,
/// over links that lose datagrams, with domains and hosts cut off, suspended and killed, alone and all at
/// once, while the organisation asks for up to four times its limit.
pub fn run_limit_world(seed: u64, steps: u64, bug: InjectedBug) -> WorldReport {
    let mut rng = StdRng::seed_from_u64(seed);
    let domain_hosts = DOMAIN_HOSTS[rng.random_range(0..DOMAIN_HOSTS.len())];
    let hosts = domain_hosts * DOMAINS;
    let rate = RATES[rng.random_range(0..RATES.len())];
    let mut world = LimitWorld {
        rng,
        now: TimePoint::from_millis(20_000),
        turn: 0,
        hosts: (0..hosts).map(|place| LimitHost::new(place, hosts, domain_hosts)).collect(),
        net: WorldNet::new(hosts, domain_hosts),
        open: Vec::new(),
        window: UseWindow::new(BOUNDS.window),
        limit: OrgLimit { rate, burst: rate, unit: LimitUnit::Requests },
        load: USUAL_LOAD,
        bug,
        report: WorldReport::default(),
    };
    for _ in 0..steps {
        world.strike();
        world.step();
    }
    world.report.steps = steps;
    world.report
}

pub(super) fn org() -> OrgKey {
    OrgKey::of("moonbook")
}

impl LimitWorld {
    fn strike(&mut self) {
        if self.rng.random_range(0..FAULT_STEPS) != 0 {
            return;
        }
        self.report.faults += 1;
        let until = self.now + Duration::from_millis(self.rng.random_range(1000..8000));
        match self.rng.random_range(0..7) {
            0 => self.net.cut_domain(self.rng.random_range(0..DOMAINS), until),
            1 => self.each_host(0.33, |world, place| world.net.cut_host(place, until)),
            2 => self.each_host(0.1, |world, place| world.hosts[place].suspended_until = until),
            3 => self.each_host(0.2, |world, place| world.restart(place)),
            4 => self.each_host(1.0, |world, place| world.restart(place)),
            _ => self.load = if self.load > 1.0 { USUAL_LOAD } else { HOT_LOAD },
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
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        self.turn += 1;
        self.net.heal(self.now);
        if self.turn.is_multiple_of(MEET_STEPS) {
            meet_all(&mut self.hosts, &self.net, self.now);
        }
        for parcel in self.net.due(self.now) {
            self.deliver(parcel);
        }
        self.give_up_asks();
        self.arrive();
        if self.turn.is_multiple_of(TELL_STEPS) {
            self.tell();
        }
        self.check();
    }

    fn arrive(&mut self) {
        let mean = f64::from(REQUEST_UNITS.start() + REQUEST_UNITS.end()) / 2.0;
        let expected = self.load * self.limit.rate * STEP.as_secs_f64() / mean;
        let whole = expected.floor();
        let more = self.rng.random_bool(expected - whole);
        for _ in 0..whole as u64 + u64::from(more) {
            self.arrive_one();
        }
    }

    fn arrive_one(&mut self) {
        let place = self.rng.random_range(0..self.hosts.len());
        if !self.hosts[place].runs(self.now) {
            return;
        }
        let units = self.rng.random_range(REQUEST_UNITS);
        self.report.tried += u64::from(units);
        let age = self.hosts[place].age(self.now);
        let ask = self.hosts[place].tools.meter.request_units(age, org(), units);
        self.ask_owner(place, ask);
    }

    fn tell(&mut self) {
        for place in 0..self.hosts.len() {
            if !self.hosts[place].runs(self.now) {
                continue;
            }
            self.look_after_account(place);
            let age = self.hosts[place].age(self.now);
            for ask in self.hosts[place].tools.meter.unsent(age) {
                match self.owner(place, self.hosts[place].update.domain) {
                    OwnerChoice::Own => {
                        self.grant(place, self.hosts[place].update.incarnation, &ask);
                    }
                    OwnerChoice::Other(owner) => self.send(place, owner, ParcelBody::Ask(ask)),
                    OwnerChoice::Unknown => {}
                }
            }
        }
    }

    fn check(&mut self) {
        let seconds = BOUNDS.window.as_secs_f64();
        let allowed = self
            .limit
            .rate
            .mul_add(seconds, self.limit.burst)
            .mul_add(1.0 + BOUNDS.over, BOUNDS.slack);
        let used = self.window.used(self.now);
        if used as f64 > allowed {
            let at = self.now.0 / 1000;
            self.report.record_violation(format!(
                "{used} units used in 8 s at {at} ms, {allowed} allowed"
            ));
        }
    }
}
