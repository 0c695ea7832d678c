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
const HOSTS_EACH: usize = 4;
const STEP: Duration = Duration::from_millis(10);
/// Time without faults at the end, after which all must agree.
const HEAL: Duration = Duration::from_secs(40);

#[derive(Debug)]
struct MemberHost {
    table: MemberTable,
    config: ActiveConfig,
    address: SocketAddr,
    alive: bool,
    paused_until: TimePoint,
}

#[derive(Debug)]
struct Datagram {
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
    flying: Vec<Datagram>,
    next_incarnation: u64,
    newest: u64,
    cut: Option<usize>,
    lossy: bool,
    bug: InjectedBug,
    report: WorldReport,
}

/// Runs the world of membership and of spreading configurations.
pub fn run_member_world(seed: u64, steps: u64, bug: InjectedBug) -> WorldReport {
    let mut world = MemberWorld {
        rng: StdRng::seed_from_u64(seed),
        now: TimePoint::from_millis(1),
        hosts: Vec::new(),
        flying: Vec::new(),
        next_incarnation: 1,
        newest: 0,
        cut: None,
        lossy: true,
        bug,
        report: WorldReport::default(),
    };
    for place in 0..DOMAINS * HOSTS_EACH {
        let host = world.new_host(place);
        world.hosts.push(host);
    }
    for _ in 0..steps {
        world.strike();
        world.step();
    }
    world.heal();
    world.check();
    world.report.steps = steps;
    world.report
}

fn address_of(place: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000 + place as u16))
}

impl MemberWorld {
    fn new_host(&mut self, place: usize) -> MemberHost {
        let incarnation = IncarnationId(self.next_incarnation);
        self.next_incarnation += 1;
        let address = address_of(place);
        let domain = NameKey(place as u64 / HOSTS_EACH as u64);
        let own =
            MemberUpdate { incarnation, address, domain, version: 0, state: MemberState::Alive };
        let seeds = [0, HOSTS_EACH, 2 * HOSTS_EACH].map(address_of).to_vec();
        MemberHost {
            table: MemberTable::new(own, seeds, self.rng.random()),
            config: ActiveConfig::default(),
            address,
            alive: true,
            paused_until: TimePoint::default(),
        }
    }

    fn strike(&mut self) {
        let place = self.rng.random_range(0..self.hosts.len());
        match self.rng.random_range(0..4000) {
            0 => self.hosts[place].alive = false,
            1..=3 if !self.hosts[place].alive => self.hosts[place] = self.new_host(place),
            4 => {
                let pause = Duration::from_millis(self.rng.random_range(100..6000));
                self.hosts[place].paused_until = self.now + pause;
            }
            5 => self.cut = Some(self.rng.random_range(0..DOMAINS)),
            6..=8 => self.cut = None,
            9..=14 => self.confirm(place),
            _ => return,
        }
        self.report.faults += 1;
    }

    /// The store confirms the next version, and one host hears of it.
    fn confirm(&mut self, place: usize) {
        self.newest += 1;
        self.adopt(place, self.newest);
    }

    fn adopt(&mut self, place: usize, version: u64) {
        let before = self.hosts[place].config.current().version;
        let config = ClusterConfig { version, ..Default::default() };
        if self.bug == InjectedBug::AdoptOlderConfig {
            self.hosts[place].config = ActiveConfig::default();
        }
        self.hosts[place].config.adopt(config);
        let after = self.hosts[place].config.current().version;
        if after < before {
            self.report
                .record_violation(format!("host {place} went back from {before} to {after}"));
        }
        let view = ViewMark { config_version: after, fleet_revision: 0 };
        self.hosts[place].table.set_view(view);
        let actions = self.hosts[place].table.push_updates(3, 1);
        self.execute_actions(place, actions);
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        let now = self.now;
        for place in 0..self.hosts.len() {
            if self.hosts[place].alive && self.hosts[place].paused_until <= now {
                let actions = self.hosts[place].table.tick(now);
                self.execute_actions(place, actions);
            }
        }
        let (due, rest) = self.flying.drain(..).partition(|datagram| datagram.due <= now);
        self.flying = rest;
        let due: Vec<Datagram> = due;
        for datagram in due {
            self.deliver(datagram);
        }
    }

    fn deliver(&mut self, datagram: Datagram) {
        let target = self.hosts.iter().position(|host| host.address == datagram.to);
        let Some(target) = target.filter(|place| self.hosts[*place].alive) else { return };
        if self.hosts[target].paused_until > self.now || self.is_cut(datagram.from, target) {
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

    fn is_cut(&self, from: usize, to: usize) -> bool {
        let (left, right) = (from / HOSTS_EACH, to / HOSTS_EACH);
        left != right && self.cut.is_some_and(|cut| cut == left || cut == right)
    }

    fn execute_actions(&mut self, place: usize, actions: Vec<TableAction>) {
        for action in actions {
            match action {
                TableAction::Send(to, message) => self.send(place, to, message),
                TableAction::FetchView(from) => {
                    let source = self.hosts.iter().position(|host| host.address == from);
                    let Some(source) = source.filter(|s| self.hosts[*s].alive) else { continue };
                    if !self.is_cut(place, source) {
                        let version = self.hosts[source].config.current().version;
                        self.fetch(place, version);
                    }
                }
                TableAction::Compare(with) => self.compare(place, with),
                TableAction::Died(_) => {}
            }
        }
    }

    fn compare(&mut self, place: usize, with: SocketAddr) {
        let other = self.hosts.iter().position(|host| host.address == with);
        let Some(other) = other.filter(|p| self.hosts[*p].alive && !self.is_cut(place, *p)) else {
            return;
        };
        if self.hosts[other].paused_until > self.now || self.bug == InjectedBug::BlockRefutation {
            return;
        }
        let (ours, theirs) =
            (self.hosts[place].table.all_updates(), self.hosts[other].table.all_updates());
        self.hosts[place].table.merge_all(self.now, &theirs);
        self.hosts[other].table.merge_all(self.now, &ours);
    }

    fn fetch(&mut self, place: usize, version: u64) {
        let known = self.hosts[place].config.current().version;
        // Answers cross: now and then an older one comes last.
        let stale = self.rng.random_bool(0.1) && version > 1;
        if version > known {
            self.adopt(place, version);
        }
        if stale {
            self.adopt(place, version - 1);
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: ProbeMessage) {
        if self.lossy && self.rng.random_bool(0.05) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(0.03));
        for _ in 0..copies {
            let due = self.now + Duration::from_millis(self.rng.random_range(1..40));
            self.flying.push(Datagram { from, to, due, message: message.clone() });
        }
    }

    fn heal(&mut self) {
        self.cut = None;
        // Lost datagrams are faults too: they would raise suspicions for ever.
        self.lossy = false;
        for place in 0..self.hosts.len() {
            self.hosts[place].paused_until = TimePoint::default();
        }
        let until = self.now + HEAL;
        while self.now < until {
            self.step();
        }
    }

    /// All living hosts agree on who lives, who owns what, and the newest version.
    fn check(&mut self) {
        let living: Vec<usize> = (0..self.hosts.len()).filter(|p| self.hosts[*p].alive).collect();
        let known = living.iter().map(|p| self.hosts[*p].config.current().version).max();
        for place in &living {
            let host = &self.hosts[*place];
            let version = host.config.current().version;
            if Some(version) != known {
                let line = format!("host {place} is at version {version}, not {known:?}");
                self.report.record_violation(line);
            }
            let host = &self.hosts[*place];
            for other in living.iter().filter(|other| *other != place) {
                let update = self.hosts[*other].table.own();
                let state = host.table.record(update.incarnation).map(|r| r.update.state);
                if state != Some(MemberState::Alive) {
                    let line = format!("host {place} believes {state:?} of living {other}");
                    self.report.record_violation(line);
                }
            }
            let host = &self.hosts[*place];
            let own = host.table.own();
            let ghosts = host.table.records().filter(|record| {
                let lives = living
                    .iter()
                    .any(|p| self.hosts[*p].table.own().incarnation == record.update.incarnation);
                !lives
                    && record.update.domain == own.domain
                    && record.update.state != MemberState::Dead
            });
            let ghosts = ghosts.count();
            if ghosts > 0 {
                self.report
                    .record_violation(format!("host {place} believes in {ghosts} dead hosts"));
            }
            self.report.done += 1;
        }
    }
}
