use super::send_parts::{
    CallerRequest, InFlightCall, LimitedServer, PROPAGATION_TIME, PendingSend, SendHost,
    SendMessage,
};
use super::world_host::update_contacts;
use super::world_network::WorldNetwork;
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
/// Steps between two rounds of limit updates, of reports of sends, and of contacts.
const UPDATE_STEPS: u64 = 10;
const REPORT_STEPS: u64 = 20;
const CONTACT_STEPS: u64 = 20;
/// Steps between two faults, and between two changes of limits, on average.
const FAULT_STEPS: u32 = 400;
const CHANGE_STEPS: u32 = 300;
/// Limits in requests per second; with hundreds of hosts, all are far below one request per host.
const LIMITS: [&str; 6] = ["0.3", "0.8", "2", "3.3", "5", "8"];
/// Steps at the start without limits.
const UNLIMITED_STEPS: u64 = 500;

/// Parameters of a run of the send world.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SendPlan {
    /// Seed of all random draws.
    pub seed: u64,
    /// Number of steps, of 10 ms each.
    pub steps: u64,
    /// Number of hosts in each of the three failure domains.
    pub domain_hosts: usize,
    /// Requests per second over all hosts.
    pub rate: u32,
    /// Whether hosts are isolated, suspended and killed, alone and together, and limits change.
    pub has_faults: bool,
    /// Whether all servers name limits; otherwise a third of them does.
    pub all_limited: bool,
}

#[derive(Debug)]
pub(super) struct SendWorld {
    pub rng: StdRng,
    pub now: TimePoint,
    step_count: u64,
    plan: SendPlan,
    pub hosts: Vec<SendHost>,
    pub network: WorldNetwork<SendMessage>,
    pub servers: Vec<LimitedServer>,
    /// When the exemption of each host because of faults ends.
    pub exempt_until: Vec<TimePoint>,
    pub pending: Vec<PendingSend>,
    pub calls: Vec<InFlightCall>,
    pub bug: InjectedBug,
    pub report: WorldReport,
}

/// Simulates the limits that servers name. Hosts in three failure domains, few or many depending on the seed, send to
/// servers that name limits, change them, withdraw them and name them again.
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

/// Runs the send world with the parameters of `plan`.
pub fn run_send_plan(plan: SendPlan, bug: InjectedBug) -> WorldReport {
    let host_count = plan.domain_hosts * DOMAINS;
    let mut world = SendWorld {
        rng: StdRng::seed_from_u64(plan.seed),
        now: TimePoint::from_millis(20_000),
        step_count: 0,
        plan,
        hosts: (0..host_count)
            .map(|index| SendHost::new(index, host_count, plan.domain_hosts))
            .collect(),
        network: WorldNetwork::new(host_count, plan.domain_hosts),
        servers: (0..SERVERS).map(|index| LimitedServer::new(index, index % DOMAINS)).collect(),
        exempt_until: vec![TimePoint::CLOCK_START; host_count],
        pending: Vec::new(),
        calls: Vec::new(),
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
        self.step_count += 1;
        if self.step_count == UNLIMITED_STEPS {
            self.set_limits();
        }
        if self.plan.has_faults && self.step_count > UNLIMITED_STEPS {
            self.inject_faults();
            self.change_limits();
        }
        self.network.heal(self.now);
        if self.step_count.is_multiple_of(CONTACT_STEPS) {
            update_contacts(&mut self.hosts, &self.network, self.now);
        }
        for datagram in self.network.take_due(self.now) {
            self.deliver_datagram(datagram);
        }
        self.expire_pending();
        self.deliver_calls();
        self.generate_requests();
        if self.step_count.is_multiple_of(UPDATE_STEPS) {
            (0..self.hosts.len()).for_each(|index| self.send_updates(index));
        }
        if self.step_count.is_multiple_of(REPORT_STEPS) {
            self.report_sends();
        }
        let now = self.now;
        self.servers.iter_mut().for_each(|server| server.accrue_allowance(now, STEP));
    }

    fn set_limits(&mut self) {
        for index in 0..self.servers.len() {
            if self.plan.all_limited || index % 3 == 0 {
                self.set_limit(index);
            }
        }
    }

    fn set_limit(&mut self, index: usize) {
        let limit = LIMITS[self.rng.random_range(0..LIMITS.len())];
        self.servers[index].limit = ServerLimit::try_from(limit).ok();
    }

    fn change_limits(&mut self) {
        if self.rng.random_range(0..CHANGE_STEPS) != 0 {
            return;
        }
        let index = self.rng.random_range(0..self.servers.len());
        if self.servers[index].limit.is_some() && self.rng.random_bool(0.3) {
            self.servers[index].limit = None;
        } else if self.servers[index].limit.is_some() || self.plan.all_limited {
            self.set_limit(index);
        }
    }

    fn inject_faults(&mut self) {
        if self.rng.random_range(0..FAULT_STEPS) != 0 {
            return;
        }
        self.report.faults += 1;
        let until = self.now + Duration::from_millis(self.rng.random_range(1000..6000));
        match self.rng.random_range(0..6) {
            0 => {
                let domain = self.rng.random_range(0..DOMAINS);
                self.network.isolate_domain(domain, until);
                let domain_hosts = self.plan.domain_hosts;
                (domain * domain_hosts..(domain + 1) * domain_hosts)
                    .for_each(|index| self.exempt(index, until));
            }
            1 => self.for_sampled_hosts(0.33, |world, index| {
                world.network.isolate_host(index, until);
                world.exempt(index, until);
            }),
            2 => self.for_sampled_hosts(0.33, |world, index| {
                world.hosts[index].suspended_until = until;
                world.exempt(index, until);
            }),
            3 => self.for_sampled_hosts(0.2, Self::restart),
            4 => self.for_sampled_hosts(1.0, Self::restart),
            _ => {
                let host = self.rng.random_range(0..self.hosts.len());
                self.restart(host);
            }
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
        self.exempt(index, self.now + downtime);
    }

    /// Exempts a host from the check while a fault lasts, and then for as long as limits take to reach all hosts.
    fn exempt(&mut self, index: usize, until: TimePoint) {
        self.exempt_until[index] = self.exempt_until[index].max(until + PROPAGATION_TIME);
    }

    fn generate_requests(&mut self) {
        let expected = f64::from(self.plan.rate) * STEP.as_secs_f64();
        let extra = self.rng.random_bool(expected.fract());
        for _ in 0..expected as u64 + u64::from(extra) {
            let index = self.rng.random_range(0..self.hosts.len());
            if !self.hosts[index].is_running(self.now) {
                continue;
            }
            self.report.tried += 1;
            let mut servers: Vec<usize> = (0..self.servers.len()).collect();
            servers.shuffle(&mut self.rng);
            let rank = CallRank::new(0, self.rng.random_range(0..3));
            self.route_request(index, CallerRequest { rank, servers });
        }
    }
}
