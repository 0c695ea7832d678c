use super::limit_parts::{LimitHost, LimitMessage, PendingRequest, UsageWindow};
use super::world_host::exchange_contacts;
use super::world_network::WorldNetwork;
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
pub(super) const REPLY_TIMEOUT: Duration = Duration::from_millis(60);
const REPORT_STEPS: u64 = 25;
const CONTACT_STEPS: u64 = 10;
/// Steps between two faults, on average.
const FAULT_STEPS: u32 = 250;
/// A request is about half of a domain's probability of a second, as long prompts are.
const REQUEST_UNITS: std::ops::RangeInclusive<u32> = 2_000..=12_000;
/// Units a second of small and large organisations: of the large ones the tolerance is the smaller probability.
const RATES: [f64; 3] = [36_000.0, 80_000.0, 186_000.0];
pub(super) const BOUNDS: LimitBounds =
    LimitBounds { window: Duration::from_secs(8), over: 0.1, slack: 140_000.0, domains: DOMAINS };
/// What callers request for at most times, and while one organisation sends many times its usual, as parts of
/// its limit.
const NORMAL_LOAD: f64 = 0.55;
const OVERLOAD: f64 = 4.0;

#[derive(Debug)]
pub(super) struct LimitWorld {
    pub rng: StdRng,
    pub now: TimePoint,
    step_count: u64,
    pub hosts: Vec<LimitHost>,
    pub network: WorldNetwork<LimitMessage>,
    pub pending: Vec<PendingRequest>,
    pub window: UsageWindow,
    pub limit: OrgLimit,
    load: f64,
    pub bug: InjectedBug,
    pub report: WorldReport,
}

/// Runs the world of one organisation's limit: hosts of three failure domains that receive_request, borrow and report_usage,
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
        step_count: 0,
        hosts: (0..hosts).map(|index| LimitHost::new(index, hosts, domain_hosts)).collect(),
        network: WorldNetwork::new(hosts, domain_hosts),
        pending: Vec::new(),
        window: UsageWindow::new(BOUNDS.window),
        limit: OrgLimit { rate, burst: rate, unit: LimitUnit::Requests },
        load: NORMAL_LOAD,
        bug,
        report: WorldReport::default(),
    };
    for _ in 0..steps {
        world.inject_faults();
        world.step();
    }
    world.report.steps = steps;
    world.report
}

pub(super) fn org() -> OrgKey {
    OrgKey::of("moonbook")
}

impl LimitWorld {
    fn inject_faults(&mut self) {
        if self.rng.random_range(0..FAULT_STEPS) != 0 {
            return;
        }
        self.report.faults += 1;
        let until = self.now + Duration::from_millis(self.rng.random_range(1000..8000));
        match self.rng.random_range(0..7) {
            0 => self.network.isolate_domain(self.rng.random_range(0..DOMAINS), until),
            1 => self
                .for_sampled_hosts(0.33, |world, index| world.network.isolate_host(index, until)),
            2 => self
                .for_sampled_hosts(0.1, |world, index| world.hosts[index].suspended_until = until),
            3 => self.for_sampled_hosts(0.2, |world, index| world.restart(index)),
            4 => self.for_sampled_hosts(1.0, |world, index| world.restart(index)),
            _ => self.load = if self.load > 1.0 { NORMAL_LOAD } else { OVERLOAD },
        }
    }

    fn for_sampled_hosts(&mut self, probability: f64, mut apply: impl FnMut(&mut Self, usize)) {
        for index in 0..self.hosts.len() {
            if self.rng.random_bool(probability) {
                apply(self, index);
            }
        }
    }

    fn restart(&mut self, index: usize) {
        let downtime = Duration::from_millis(self.rng.random_range(300..1500));
        self.hosts[index].restart(self.now + downtime);
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        self.step_count += 1;
        self.network.heal(self.now);
        if self.step_count.is_multiple_of(CONTACT_STEPS) {
            exchange_contacts(&mut self.hosts, &self.network, self.now);
        }
        for datagram in self.network.take_due(self.now) {
            self.deliver_datagram(datagram);
        }
        self.expire_pending();
        self.generate_requests();
        if self.step_count.is_multiple_of(REPORT_STEPS) {
            self.report_usage();
        }
        self.check_limit();
    }

    fn generate_requests(&mut self) {
        let mean = f64::from(REQUEST_UNITS.start() + REQUEST_UNITS.end()) / 2.0;
        let expected = self.load * self.limit.rate * STEP.as_secs_f64() / mean;
        let whole = expected.floor();
        let extra = self.rng.random_bool(expected - whole);
        for _ in 0..whole as u64 + u64::from(extra) {
            self.generate_request();
        }
    }

    fn generate_request(&mut self) {
        let index = self.rng.random_range(0..self.hosts.len());
        if !self.hosts[index].is_running(self.now) {
            return;
        }
        let units = self.rng.random_range(REQUEST_UNITS);
        self.report.tried += u64::from(units);
        let local_now = self.hosts[index].local_time(self.now);
        let request = self.hosts[index].state.meter.request_units(local_now, org(), units);
        self.request_units(index, request);
    }

    fn report_usage(&mut self) {
        for index in 0..self.hosts.len() {
            if !self.hosts[index].is_running(self.now) {
                continue;
            }
            self.check_ownership(index);
            let local_now = self.hosts[index].local_time(self.now);
            for request in self.hosts[index].state.meter.unsent(local_now) {
                match self.owner(index, self.hosts[index].update.domain) {
                    OwnerChoice::Own => {
                        self.receive_request(index, self.hosts[index].update.incarnation, &request);
                    }
                    OwnerChoice::Other(owner) => {
                        self.send_datagram(index, owner, LimitMessage::Request(request))
                    }
                    OwnerChoice::Unknown => {}
                }
            }
        }
    }

    fn check_limit(&mut self) {
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
