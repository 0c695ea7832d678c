use super::limit_parts::{LimitHost, LimitMessage, PendingRequest, UsageWindow};
use super::world_host::update_contacts;
use super::world_network::WorldNetwork;
use super::{InjectedBug, WorldReport};
use crate::keys::{OrgKey, TimePoint};
use crate::limits::{LimitBounds, OwnerChoice};
use crate::organisations::{LimitUnit, OrgLimit};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

pub(super) const DOMAINS: usize = 3;
/// Number of hosts per domain; the seed selects one of them.
const DOMAIN_HOSTS: [usize; 2] = [10, 29];
const STEP: Duration = Duration::from_millis(10);
/// An owner that has not replied within this time counts as silent.
pub(super) const REPLY_TIMEOUT: Duration = Duration::from_millis(60);
/// Steps between two usage reports of each host, and between two rounds of contacts.
const REPORT_STEPS: u64 = 25;
const CONTACT_STEPS: u64 = 10;
/// Steps between two faults, on average.
const FAULT_STEPS: u32 = 250;
/// Units of a request: about half of a domain's share of one second, as for long prompts.
const REQUEST_UNITS: std::ops::RangeInclusive<u32> = 2_000..=12_000;
/// Units per second of small and large organisations. The larger the rate, the smaller the tolerance is
/// relative to it.
const RATES: [f64; 3] = [36_000.0, 80_000.0, 186_000.0];
pub(super) const BOUNDS: LimitBounds =
    LimitBounds { window: Duration::from_secs(8), over: 0.1, slack: 140_000.0, domains: DOMAINS };
/// Load that callers offer normally, and while the organisation sends many times its usual load, relative to its
/// limit.
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

/// Simulates the limit of one organisation. Hosts in three failure domains grant and borrow units and report usage
/// over links that lose datagrams. Domains and hosts are isolated, hosts are suspended and killed, some of them or
/// all at once, while the organisation requests up to four times its limit.
pub fn run_limit_world(seed: u64, steps: u64, bug: InjectedBug) -> WorldReport {
    let mut rng = StdRng::seed_from_u64(seed);
    let domain_hosts = DOMAIN_HOSTS[rng.random_range(0..DOMAIN_HOSTS.len())];
    let host_count = domain_hosts * DOMAINS;
    let rate = RATES[rng.random_range(0..RATES.len())];
    let mut world = LimitWorld {
        rng,
        now: TimePoint::from_millis(20_000),
        step_count: 0,
        hosts: (0..host_count)
            .map(|index| LimitHost::new(index, host_count, domain_hosts))
            .collect(),
        network: WorldNetwork::new(host_count, domain_hosts),
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
            update_contacts(&mut self.hosts, &self.network, self.now);
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
        let mean_units = f64::from(REQUEST_UNITS.start() + REQUEST_UNITS.end()) / 2.0;
        let expected = self.load * self.limit.rate * STEP.as_secs_f64() / mean_units;
        let whole_count = expected.floor();
        let extra = self.rng.random_bool(expected - whole_count);
        for _ in 0..whole_count as u64 + u64::from(extra) {
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
