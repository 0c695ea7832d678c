use super::world_net::WorldNet;
use crate::keys::{IncarnationId, NameKey, TimePoint};
use crate::limits::SilentOwners;
use crate::membership::MemberUpdate;
use crate::placement::rendezvous_rank;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// A host that was not reached for this long counts as dead.
const DEATH_TIME: Duration = Duration::from_millis(2000);
/// A host that starts meets one other in each of these.
const MEETING_TIME: Duration = Duration::from_millis(15);

/// One host of the world and what it knows of others.
#[derive(Debug)]
pub(super) struct WorldHost<T> {
    pub update: MemberUpdate,
    /// The machines that it runs.
    pub tools: T,
    pub silent: SilentOwners,
    pub suspended_until: TimePoint,
    started_at: TimePoint,
    hosts: u64,
    changed_at: TimePoint,
    met: BTreeMap<SocketAddr, (MemberUpdate, TimePoint)>,
}

impl<T: Default> WorldHost<T> {
    /// The first life of the host `place` among `hosts`, of which each domain has `domain_hosts`.
    pub fn new(place: usize, hosts: usize, domain_hosts: usize) -> Self {
        let port = 7000 + u16::try_from(place).unwrap_or_default();
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        let domain = domain_key(place / domain_hosts);
        Self {
            update: MemberUpdate::started(IncarnationId(place as u64), address, domain),
            hosts: hosts as u64,
            changed_at: TimePoint::default(),
            tools: T::default(),
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
        self.tools = T::default();
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

    /// Whether it has been the owner of a thing of its domain ever since `since`: nobody that goes before it lives, or did
    /// at any time after that.
    pub fn has_owned(&self, thing: NameKey, since: TimePoint) -> bool {
        let rank = |host: &MemberUpdate| rendezvous_rank(thing.0, host.incarnation.0);
        let domain = self.update.domain;
        let others = self.met.values().filter(|(update, _)| update.domain == domain);
        let mut before = others.filter(|(update, _)| rank(update) > rank(&self.update));
        before.all(|(_, at)| *at + DEATH_TIME <= since)
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

/// Hosts notice who is there; those that start know nobody at first.
pub(super) fn meet_all<T: Default, B>(
    hosts: &mut [WorldHost<T>],
    net: &WorldNet<B>,
    now: TimePoint,
) {
    for place in 0..hosts.len() {
        for other in 0..hosts.len() {
            let reached = net.is_open(place, other) && hosts[other].runs(now);
            if place != other && reached && hosts[place].runs(now) {
                let update = hosts[other].update;
                hosts[place].meet(now, update);
            }
        }
    }
}

/// The key of one of the world's domains.
pub(super) fn domain_key(place: usize) -> NameKey {
    NameKey::of(&format!("domain-{place}"))
}
