use super::{InjectedBug, WorldReport};
use crate::intents::{ActiveConfig, ClusterConfig};
use crate::keys::{IncarnationId, NameKey, TimePoint};
use crate::membership::{
    MemberState, MemberTable, MemberUpdate, ProbeMessage, TableAction, ViewMark,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::net::SocketAddr;
use std::time::Duration;

const DOMAINS: usize = 3;
const DOMAIN_HOSTS: usize = 4;
const STEP: Duration = Duration::from_millis(10);
/// Time without faults at the end, after which all hosts must agree.
const QUIET_TIME: Duration = Duration::from_secs(40);

#[derive(Debug)]
struct MemberHost {
    table: MemberTable,
    config: ActiveConfig,
    address: SocketAddr,
    is_alive: bool,
    paused_until: TimePoint,
}

#[derive(Debug)]
struct ProbeDatagram {
    from: usize,
    to: SocketAddr,
    due: TimePoint,
    message: ProbeMessage,
}

#[derive(Debug)]
struct MemberWorld {
    rng: StdRng,
    now: TimePoint,
    hosts: Vec<MemberHost>,
    in_flight: Vec<ProbeDatagram>,
    next_incarnation: u64,
    newest_version: u64,
    isolated_domain: Option<usize>,
    is_lossy: bool,
    bug: InjectedBug,
    report: WorldReport,
}

/// Simulates membership gossip and the distribution of configurations.
pub fn run_member_world(seed: u64, steps: u64, bug: InjectedBug) -> WorldReport {
    let mut world = MemberWorld {
        rng: StdRng::seed_from_u64(seed),
        now: TimePoint::from_millis(1),
        hosts: Vec::new(),
        in_flight: Vec::new(),
        next_incarnation: 1,
        newest_version: 0,
        isolated_domain: None,
        is_lossy: true,
        bug,
        report: WorldReport::default(),
    };
    for index in 0..DOMAINS * DOMAIN_HOSTS {
        let host = world.new_host(index);
        world.hosts.push(host);
    }
    for _ in 0..steps {
        world.inject_faults();
        world.step();
    }
    world.run_without_faults();
    world.check_agreement();
    world.report.steps = steps;
    world.report
}

fn address_of(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000 + index as u16))
}

impl MemberWorld {
    fn new_host(&mut self, index: usize) -> MemberHost {
        let incarnation = IncarnationId(self.next_incarnation);
        self.next_incarnation += 1;
        let address = address_of(index);
        let domain = NameKey(index as u64 / DOMAIN_HOSTS as u64);
        let own =
            MemberUpdate { incarnation, address, domain, version: 0, state: MemberState::Alive };
        let seeds = [0, DOMAIN_HOSTS, 2 * DOMAIN_HOSTS].map(address_of).to_vec();
        MemberHost {
            table: MemberTable::new(own, seeds, self.rng.random()),
            config: ActiveConfig::default(),
            address,
            is_alive: true,
            paused_until: TimePoint::CLOCK_START,
        }
    }

    fn inject_faults(&mut self) {
        let index = self.rng.random_range(0..self.hosts.len());
        match self.rng.random_range(0..4000) {
            0 => self.hosts[index].is_alive = false,
            1..=3 if !self.hosts[index].is_alive => self.hosts[index] = self.new_host(index),
            4 => {
                let pause = Duration::from_millis(self.rng.random_range(100..6000));
                self.hosts[index].paused_until = self.now + pause;
            }
            5 => self.isolated_domain = Some(self.rng.random_range(0..DOMAINS)),
            6..=8 => self.isolated_domain = None,
            9..=14 => self.confirm(index),
            _ => return,
        }
        self.report.faults += 1;
    }

    /// The store confirms the next configuration version, and one host receives it.
    fn confirm(&mut self, index: usize) {
        self.newest_version += 1;
        self.adopt(index, self.newest_version);
    }

    fn adopt(&mut self, index: usize, version: u64) {
        let before = self.hosts[index].config.current().version;
        let config = ClusterConfig { version, ..Default::default() };
        if self.bug == InjectedBug::AdoptOlderConfig {
            self.hosts[index].config = ActiveConfig::default();
        }
        self.hosts[index].config.adopt(config);
        let after = self.hosts[index].config.current().version;
        if after < before {
            self.report
                .record_violation(format!("host {index} went back from {before} to {after}"));
        }
        let view = ViewMark { config_version: after, fleet_revision: 0 };
        self.hosts[index].table.set_view(view);
        let actions = self.hosts[index].table.push_updates(3, 1);
        self.execute_actions(index, actions);
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        let now = self.now;
        for index in 0..self.hosts.len() {
            if self.hosts[index].is_alive && self.hosts[index].paused_until <= now {
                let actions = self.hosts[index].table.tick(now);
                self.execute_actions(index, actions);
            }
        }
        let (due, rest) = self.in_flight.drain(..).partition(|datagram| datagram.due <= now);
        self.in_flight = rest;
        let due: Vec<ProbeDatagram> = due;
        for datagram in due {
            self.deliver_datagram(datagram);
        }
    }

    fn deliver_datagram(&mut self, datagram: ProbeDatagram) {
        let target = self.hosts.iter().position(|host| host.address == datagram.to);
        let Some(target) = target.filter(|index| self.hosts[*index].is_alive) else { return };
        if self.hosts[target].paused_until > self.now || self.is_partitioned(datagram.from, target)
        {
            return;
        }
        let mut message = datagram.message;
        if self.bug == InjectedBug::BlockRefutation {
            let own = self.hosts[target].table.own().incarnation;
            message.updates.retain(|update| update.incarnation != own);
        }
        self.report.tried += 1;
        let actions = self.hosts[target].table.receive(self.now, &message);
        self.execute_actions(target, actions);
    }

    fn is_partitioned(&self, from: usize, to: usize) -> bool {
        let (left, right) = (from / DOMAIN_HOSTS, to / DOMAIN_HOSTS);
        left != right
            && self.isolated_domain.is_some_and(|isolated| isolated == left || isolated == right)
    }

    fn execute_actions(&mut self, index: usize, actions: Vec<TableAction>) {
        for action in actions {
            match action {
                TableAction::Send(to, message) => self.send(index, to, message),
                TableAction::FetchView(from) => {
                    let source = self.hosts.iter().position(|host| host.address == from);
                    let Some(source) = source.filter(|s| self.hosts[*s].is_alive) else { continue };
                    if !self.is_partitioned(index, source) {
                        let version = self.hosts[source].config.current().version;
                        self.fetch(index, version);
                    }
                }
                TableAction::Compare(with) => self.compare(index, with),
                TableAction::Died(_) => {}
            }
        }
    }

    fn compare(&mut self, index: usize, with: SocketAddr) {
        let other = self.hosts.iter().position(|host| host.address == with);
        let Some(other) =
            other.filter(|p| self.hosts[*p].is_alive && !self.is_partitioned(index, *p))
        else {
            return;
        };
        if self.hosts[other].paused_until > self.now || self.bug == InjectedBug::BlockRefutation {
            return;
        }
        let (ours, theirs) =
            (self.hosts[index].table.all_updates(), self.hosts[other].table.all_updates());
        self.hosts[index].table.merge_all(self.now, &theirs);
        self.hosts[other].table.merge_all(self.now, &ours);
    }

    fn fetch(&mut self, index: usize, version: u64) {
        let known_version = self.hosts[index].config.current().version;
        // Answers may be reordered: sometimes an older one arrives last.
        let is_stale = self.rng.random_bool(0.1) && version > 1;
        if version > known_version {
            self.adopt(index, version);
        }
        if is_stale {
            self.adopt(index, version - 1);
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: ProbeMessage) {
        if self.is_lossy && self.rng.random_bool(0.05) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(0.03));
        for _ in 0..copies {
            let due = self.now + Duration::from_millis(self.rng.random_range(1..40));
            self.in_flight.push(ProbeDatagram { from, to, due, message: message.clone() });
        }
    }

    fn run_without_faults(&mut self) {
        self.isolated_domain = None;
        // Lost datagrams are faults, too: they would keep raising suspicions.
        self.is_lossy = false;
        for index in 0..self.hosts.len() {
            self.hosts[index].paused_until = TimePoint::CLOCK_START;
        }
        let until = self.now + QUIET_TIME;
        while self.now < until {
            self.step();
        }
    }

    /// Checks that all live hosts have the newest version, consider each other alive, and consider no dead host of their
    /// own domain alive; so they agree on owners as well.
    fn check_agreement(&mut self) {
        let living: Vec<usize> =
            (0..self.hosts.len()).filter(|p| self.hosts[*p].is_alive).collect();
        let newest_version = living.iter().map(|p| self.hosts[*p].config.current().version).max();
        for index in &living {
            let host = &self.hosts[*index];
            let version = host.config.current().version;
            if Some(version) != newest_version {
                let line = format!("host {index} is at version {version}, not {newest_version:?}");
                self.report.record_violation(line);
            }
            let host = &self.hosts[*index];
            for other in living.iter().filter(|other| *other != index) {
                let update = self.hosts[*other].table.own();
                let state = host.table.record(update.incarnation).map(|r| r.update.state);
                if state != Some(MemberState::Alive) {
                    let line = format!("host {index} believes {state:?} of living {other}");
                    self.report.record_violation(line);
                }
            }
            let host = &self.hosts[*index];
            let own = host.table.own();
            let stale_records = host.table.records().filter(|record| {
                let is_live = living
                    .iter()
                    .any(|p| self.hosts[*p].table.own().incarnation == record.update.incarnation);
                !is_live
                    && record.update.domain == own.domain
                    && record.update.state != MemberState::Dead
            });
            let stale_count = stale_records.count();
            if stale_count > 0 {
                self.report
                    .record_violation(format!("host {index} believes in {stale_count} dead hosts"));
            }
            self.report.done += 1;
        }
    }
}
