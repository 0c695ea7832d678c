use crate::keys::{IncarnationId, NameKey, TimePoint};
use crate::limits::{
    LimitAnswer, LimitAsk, LimitLedger, LimitLoan, LimitMeter, LoanAsk, SilentOwners,
};
use crate::membership::MemberUpdate;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// A host that was not reached for this long counts as dead.
const DEATH_TIME: Duration = Duration::from_millis(2000);
/// A host that starts meets one other in each of these.
const MEETING_TIME: Duration = Duration::from_millis(15);

/// One host of the world and what it knows of others.
#[derive(Debug)]
pub(super) struct LimitHost {
    pub update: MemberUpdate,
    pub meter: LimitMeter,
    pub ledger: LimitLedger,
    pub silent: SilentOwners,
    pub suspended_until: TimePoint,
    started_at: TimePoint,
    hosts: u64,
    changed_at: TimePoint,
    met: BTreeMap<SocketAddr, (MemberUpdate, TimePoint)>,
}

impl LimitHost {
    /// The first life of the host `place` among `hosts`, of which each domain has `domain_hosts`.
    pub fn new(place: usize, hosts: usize, domain_hosts: usize) -> Self {
        let port = 7000 + u16::try_from(place).unwrap_or_default();
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        let domain = domain_key(place / domain_hosts);
        Self {
            update: MemberUpdate::started(IncarnationId(place as u64), address, domain),
            hosts: hosts as u64,
            changed_at: TimePoint::default(),
            meter: LimitMeter::default(),
            ledger: LimitLedger::default(),
            silent: SilentOwners::default(),
            suspended_until: TimePoint::default(),
            started_at: TimePoint::default(),
            met: BTreeMap::new(),
        }
    }

    /// Ends its life and starts another at `at`; nothing is kept. Lives of the host `place` among n have the
    /// numbers place, place + n and so on.
    pub fn restart(&mut self, at: TimePoint) {
        let life = IncarnationId(self.update.incarnation.0 + self.hosts);
        self.update = MemberUpdate::started(life, self.update.address, self.update.domain);
        self.meter = LimitMeter::default();
        self.ledger = LimitLedger::default();
        self.silent = SilentOwners::default();
        self.suspended_until = TimePoint::default();
        self.started_at = at;
        self.met.clear();
    }

    /// Whether it runs and is not suspended.
    pub fn runs(&self, now: TimePoint) -> bool {
        now >= self.started_at && now >= self.suspended_until
    }

    /// Time since its start, which is its own clock.
    pub fn age(&self, now: TimePoint) -> TimePoint {
        TimePoint::default() + now.since(self.started_at)
    }

    /// It reaches another host, and knows it unless it has just started.
    pub fn meet(&mut self, now: TimePoint, other: MemberUpdate) {
        let is_known = self.met.contains_key(&other.address);
        let meetings = now.since(self.started_at).as_micros() / MEETING_TIME.as_micros();
        let is_new = self.met.get(&other.address).is_none_or(|(known, at)| {
            known.incarnation != other.incarnation || now.since(*at) >= DEATH_TIME
        });
        if is_new {
            self.changed_at = now;
        }
        if is_known || self.met.len() < usize::try_from(meetings).unwrap_or(usize::MAX) {
            self.met.insert(other.address, (other, now));
        }
    }

    /// Whether it has known the same others for `time`, all of them alive.
    pub fn is_settled(&self, now: TimePoint, time: Duration) -> bool {
        let all_alive = self.met.values().all(|(_, at)| now.since(*at) < DEATH_TIME);
        all_alive && now.since(self.changed_at) >= time && now.since(self.started_at) >= time
    }

    /// Whether it has met nobody yet.
    pub fn is_alone(&self) -> bool {
        self.met.is_empty()
    }

    /// Hosts of a domain that it takes to be alive, itself included.
    pub fn living(&self, now: TimePoint, domain: NameKey) -> Vec<MemberUpdate> {
        let met = self.met.values().filter(|(_, at)| now.since(*at) < DEATH_TIME);
        let all = met.map(|(update, _)| *update).chain(std::iter::once(self.update));
        all.filter(|update| update.domain == domain).collect()
    }

    /// Hosts of its own domain that it takes to be alive, and all that it ever met.
    pub fn domain_hosts(&self, now: TimePoint) -> (usize, usize) {
        let domain = self.update.domain;
        let known = self.met.values().filter(|(update, _)| update.domain == domain).count();
        (self.living(now, domain).len(), known + 1)
    }
}

/// The key of one of the world's domains.
pub(super) fn domain_key(place: usize) -> NameKey {
    NameKey::of(&format!("domain-{place}"))
}

/// A request that waits for its owner's answer.
#[derive(Debug, Clone, Copy)]
pub(super) struct OpenAsk {
    pub host: usize,
    pub owner: IncarnationId,
    pub ask: LimitAsk,
    pub until: TimePoint,
}

/// What hosts send each other.
#[derive(Debug, Clone, Copy)]
pub(super) enum ParcelBody {
    Ask(LimitAsk),
    Answer(LimitAnswer),
    LoanAsk(LoanAsk),
    Loan(LimitLoan),
}

/// A datagram on its way.
#[derive(Debug, Clone, Copy)]
pub(super) struct Parcel {
    pub due: TimePoint,
    pub from: MemberUpdate,
    pub to: MemberUpdate,
    pub body: ParcelBody,
}

/// Links between the hosts, and the datagrams on them.
#[derive(Debug)]
pub(super) struct WorldNet {
    domain_hosts: usize,
    cut_domains: BTreeMap<usize, TimePoint>,
    cut_hosts: BTreeMap<usize, TimePoint>,
    parcels: Vec<Parcel>,
}

impl WorldNet {
    /// A net of hosts in domains of `domain_hosts` each.
    pub fn new(hosts: usize, domain_hosts: usize) -> Self {
        Self {
            domain_hosts,
            cut_domains: BTreeMap::new(),
            cut_hosts: BTreeMap::new(),
            parcels: Vec::with_capacity(hosts),
        }
    }

    /// Cuts a domain off from the others.
    pub fn cut_domain(&mut self, domain: usize, until: TimePoint) {
        self.cut_domains.insert(domain, until);
    }

    /// Cuts a host off from all others.
    pub fn cut_host(&mut self, place: usize, until: TimePoint) {
        self.cut_hosts.insert(place, until);
    }

    /// Ends cuts whose time has come.
    pub fn heal(&mut self, now: TimePoint) {
        self.cut_domains.retain(|_, until| now < *until);
        self.cut_hosts.retain(|_, until| now < *until);
    }

    /// Whether two hosts reach each other.
    pub fn is_open(&self, from: usize, to: usize) -> bool {
        let (one, other) = (from / self.domain_hosts, to / self.domain_hosts);
        let cut_domain = |domain: usize| self.cut_domains.contains_key(&domain);
        let cut_host = |place: usize| self.cut_hosts.contains_key(&place);
        let domains_cut = one != other && (cut_domain(one) || cut_domain(other));
        !(domains_cut || cut_host(from) || cut_host(to))
    }

    /// Sends a datagram.
    pub fn post(&mut self, parcel: Parcel) {
        self.parcels.push(parcel);
    }

    /// Datagrams that arrive by now.
    pub fn due(&mut self, now: TimePoint) -> Vec<Parcel> {
        let (due, later) = self.parcels.drain(..).partition(|parcel| parcel.due <= now);
        self.parcels = later;
        due
    }
}

/// What was used in a sliding window.
#[derive(Debug)]
pub(super) struct UseWindow {
    length: Duration,
    uses: VecDeque<(TimePoint, u32)>,
}

impl UseWindow {
    /// A window of `length`.
    pub fn new(length: Duration) -> Self {
        Self { length, uses: VecDeque::new() }
    }

    /// Units were used.
    pub fn note(&mut self, now: TimePoint, units: u32) {
        self.uses.push_back((now, units));
    }

    /// Units used in the window that ends now.
    pub fn used(&mut self, now: TimePoint) -> u64 {
        while self.uses.front().is_some_and(|(at, _)| now.since(*at) > self.length) {
            self.uses.pop_front();
        }
        self.uses.iter().map(|(_, units)| u64::from(*units)).sum()
    }
}
