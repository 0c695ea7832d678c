//! Hosts that exchange health reports without a network: each datagram has a delay and may be lost.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::collections::HashSet;
use std::time::Duration;
use tealcleat::fleet::{FleetView, ServerEntry, ServerStage, ServerState};
use tealcleat::keys::{IncarnationId, NameKey, ServerKey, TimePoint, mix_hash};
use tealcleat::placement::ServerEvent;
use tealcleat::shared_health::{
    HealthEntry, HealthReport, PoolStandings, ServerObservation, ServerStanding, SharedHealth,
};

/// Failure domains; host and server number `i` is in domain `i` modulo 3.
pub const DOMAINS: [&str; 3] = ["a", "b", "c"];

pub fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}

/// Milliseconds from the start of the clock to `at`.
pub fn millis(at: TimePoint) -> u64 {
    u64::try_from(at.since(TimePoint::CLOCK_START).as_millis()).expect("a short time")
}

pub fn server(index: usize, stage: Option<ServerStage>) -> ServerEntry {
    ServerEntry {
        id: format!("i-{index}"),
        started_at: None,
        version: "v1".to_owned(),
        service: NameKey::of("app"),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 1 + index as u16)),
        domain: NameKey::of(DOMAINS[index % 3]),
        state: ServerState::Ready,
        stage,
        slots: 6,
        cold_ms: 0,
    }
}

pub fn fleet_of(servers: Vec<ServerEntry>) -> FleetView {
    let mut fleet = FleetView::default();
    fleet.replace_all(at(0), 1, servers);
    fleet
}

/// A datagram on its way.
#[derive(Debug, Clone)]
struct SentReport {
    due: TimePoint,
    to: usize,
    report: HealthReport,
}

/// Hosts, and the datagrams between them.
#[derive(Debug)]
pub struct HostGroup {
    pub fleet: FleetView,
    pub hosts: Vec<SharedHealth>,
    /// Hosts that have died: they neither send nor receive, and the others know it.
    pub dead: HashSet<usize>,
    /// Links between domains that are cut.
    pub cut: Vec<(usize, usize)>,
    /// Percentage of datagrams that are lost.
    pub loss_percent: u64,
    pub sent_count: u64,
    pub sent_bytes: u64,
    in_flight: Vec<SentReport>,
    draws: u64,
}

impl HostGroup {
    pub fn new(host_count: usize, servers: Vec<ServerEntry>) -> Self {
        let host = |index| SharedHealth::new(incarnation(index), domain(index));
        Self {
            fleet: fleet_of(servers),
            hosts: (0..host_count).map(host).collect(),
            dead: HashSet::new(),
            cut: Vec::new(),
            loss_percent: 0,
            sent_count: 0,
            sent_bytes: 0,
            in_flight: Vec::new(),
            draws: 0,
        }
    }

    /// A number below `bound`, the same in each run.
    pub fn draw(&mut self, bound: u64) -> u64 {
        self.draws += 1;
        mix_hash(7, self.draws) % bound
    }

    pub fn entry(&self, index: usize) -> ServerEntry {
        self.fleet.entry(key(index)).expect("a server").clone()
    }

    /// Lets a host observe an event, and sends the report that becomes due.
    pub fn observe(&mut self, now: TimePoint, host: usize, index: usize, event: ServerEvent) {
        let entry = self.entry(index);
        self.hosts[host].record_own(now, &entry, event, &self.fleet);
        self.send(now, host);
    }

    pub fn send(&mut self, now: TimePoint, from: usize) {
        let Some(report) = self.hosts[from].due_report(now, &self.fleet) else { return };
        for to in (0..self.hosts.len()).filter(|to| *to != from) {
            let is_local = domain(to) == domain(from);
            let sent = if is_local { Some(&report.local) } else { report.remote.as_ref() };
            let Some(sent) = sent else { continue };
            self.sent_count += 1;
            self.sent_bytes += datagram_bytes(sent);
            let sent = SentReport { due: now, to, report: sent.clone() };
            let is_lost = self.draw(100) < self.loss_percent || self.is_cut(from, to);
            if is_lost || self.dead.contains(&from) || self.dead.contains(&to) {
                continue;
            }
            let delay = Duration::from_millis(1 + self.draw(4));
            self.in_flight.push(SentReport { due: now + delay, ..sent });
        }
    }

    pub fn is_cut(&self, from: usize, to: usize) -> bool {
        let (from, to) = (from % 3, to % 3);
        self.cut.iter().any(|cut| *cut == (from, to) || *cut == (to, from))
    }

    /// Delivers what has arrived, and lets each host tick every 50 ms. Called once per millisecond.
    pub fn step(&mut self, now: TimePoint) {
        let (due, later): (Vec<_>, Vec<_>) =
            self.in_flight.drain(..).partition(|sent| sent.due <= now);
        self.in_flight = later;
        for sent in due {
            self.deliver(now, sent.to, &sent.report);
        }
        for host in 0..self.hosts.len() {
            if (millis(now) + host as u64).is_multiple_of(50) && !self.dead.contains(&host) {
                self.hosts[host].tick(now, &self.fleet);
                self.send(now, host);
            }
        }
    }

    pub fn deliver(&mut self, now: TimePoint, to: usize, report: &HealthReport) {
        let from = usize::try_from(report.from.0).expect("a small number");
        self.hosts[to].apply(now, domain(from), report, &self.fleet);
    }

    /// Lets time pass.
    pub fn run(&mut self, from_ms: u64, to_ms: u64) {
        for millis in from_ms..to_ms {
            self.step(at(millis));
        }
    }

    /// Standings of the servers of a stage, as one host sees them.
    pub fn standings(
        &self,
        now: TimePoint,
        host: usize,
        stage: Option<ServerStage>,
    ) -> PoolStandings {
        let servers = self.fleet.ready(NameKey::of("app"));
        let pool = servers.filter(|server| stage.is_none_or(|stage| server.stage == Some(stage)));
        let living = |of: NameKey| -> Vec<IncarnationId> {
            let alive = (0..self.hosts.len()).filter(|index| !self.dead.contains(index));
            alive.filter(|index| domain(*index) == of).map(incarnation).collect()
        };
        self.hosts[host].standings(now, pool, |_| true, living)
    }

    pub fn standing(&self, now: TimePoint, host: usize, index: usize) -> ServerStanding {
        self.standings(now, host, None).of(key(index))
    }

    /// Hosts that exclude a server.
    pub fn excluding(&self, index: usize) -> Vec<usize> {
        (0..self.hosts.len()).filter(|host| self.hosts[*host].is_excluded(key(index))).collect()
    }

    /// Living hosts that may try a server.
    pub fn trying(&self, now: TimePoint, index: usize) -> Vec<usize> {
        let is_trial = |host: &usize| {
            let standing = self.standing(now, *host, index);
            matches!(standing, ServerStanding::Trial | ServerStanding::AnyTrial)
        };
        let living = (0..self.hosts.len()).filter(|host| !self.dead.contains(host));
        living.filter(is_trial).collect()
    }
}

pub fn incarnation(host: usize) -> IncarnationId {
    IncarnationId(host as u64)
}

pub fn domain(index: usize) -> NameKey {
    NameKey::of(DOMAINS[index % 3])
}

pub fn key(index: usize) -> ServerKey {
    ServerKey::of(&format!("i-{index}"))
}

/// Bytes of a datagram with a report: kind, signature, and the headers of UDP and IP.
fn datagram_bytes(report: &HealthReport) -> u64 {
    let config = bincode::config::standard();
    let body = bincode::serde::encode_to_vec(report, config).expect("it can be encoded").len();
    body as u64 + 1 + 16 + 28
}

/// Hosts of a small group: three in each failure domain.
pub const HOSTS: usize = 9;

pub fn plain_servers(count: usize) -> Vec<ServerEntry> {
    (0..count).map(|index| server(index, None)).collect()
}

pub fn group(servers: usize) -> HostGroup {
    HostGroup::new(HOSTS, plain_servers(servers))
}

/// A group in which two hosts of the domain of server 0 have reported it at 0 and 10 ms.
pub fn group_excluding_first() -> HostGroup {
    let mut group = group(3);
    group.observe(at(0), 0, 0, ServerEvent::BrokeOff);
    group.run(0, 10);
    group.observe(at(10), 3, 0, ServerEvent::BrokeOff);
    group.run(10, 30);
    group
}

pub fn report(
    from: usize,
    version: u32,
    entries: &[(usize, ServerObservation, u16)],
) -> HealthReport {
    let entry = |(index, observation, age_ms): &(usize, ServerObservation, u16)| HealthEntry {
        server: key(*index),
        observation: *observation,
        age_ms: *age_ms,
    };
    HealthReport { from: incarnation(from), version, entries: entries.iter().map(entry).collect() }
}
