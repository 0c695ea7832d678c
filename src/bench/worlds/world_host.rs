use super::world_network::WorldNetwork;
use crate::keys::{IncarnationId, NameKey, TimePoint};
use crate::limits::SilentOwners;
use crate::membership::MemberUpdate;
use crate::placement::rendezvous_rank;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// A host that was not reached for this long counts as dead.
const DEATH_TIMEOUT: Duration = Duration::from_millis(2000);
/// A host that starts meets one other in each of these.
const DISCOVERY_INTERVAL: Duration = Duration::from_millis(15);

/// One host of the world and what it knows of others.
#[derive(Debug)]
pub(super) struct WorldHost<T> {
    pub update: MemberUpdate,
    /// The machines that it runs.
    pub state: T,
    pub silent_owners: SilentOwners,
    pub suspended_until: TimePoint,
    started_at: TimePoint,
    host_count: u64,
    changed_at: TimePoint,
    contacts: BTreeMap<SocketAddr, (MemberUpdate, TimePoint)>,
}

impl<T: Default> WorldHost<T> {
    /// The first incarnation of the host `index` among `hosts`, of which each domain has `domain_hosts`.
    pub fn new(index: usize, hosts: usize, domain_hosts: usize) -> Self {
        let port = 7000 + u16::try_from(index).unwrap_or_default();
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        let domain = domain_key(index / domain_hosts);
        Self {
            update: MemberUpdate::started(IncarnationId(index as u64), address, domain),
            host_count: hosts as u64,
            changed_at: TimePoint::default(),
            state: T::default(),
            silent_owners: SilentOwners::default(),
            suspended_until: TimePoint::default(),
            started_at: TimePoint::default(),
            contacts: BTreeMap::new(),
        }
    }

    /// Ends its incarnation and starts another at `at`; nothing is kept. Lives of the host `index` among n have the
    /// numbers index, index + n and so on.
    pub fn restart(&mut self, at: TimePoint) {
        let incarnation = IncarnationId(self.update.incarnation.0 + self.host_count);
        self.update = MemberUpdate::started(incarnation, self.update.address, self.update.domain);
        self.state = T::default();
        self.silent_owners = SilentOwners::default();
        self.suspended_until = TimePoint::default();
        self.started_at = at;
        self.contacts.clear();
    }

    /// Whether it runs and is not suspended.
    pub fn is_running(&self, now: TimePoint) -> bool {
        now >= self.started_at && now >= self.suspended_until
    }

    /// Time since its start, which is its own clock.
    pub fn local_time(&self, now: TimePoint) -> TimePoint {
        TimePoint::default() + now.since(self.started_at)
    }

    /// It reaches another host, and knows it unless it has just started.
    pub fn record_contact(&mut self, now: TimePoint, other: MemberUpdate) {
        let is_known = self.contacts.contains_key(&other.address);
        let discoverable = now.since(self.started_at).as_micros() / DISCOVERY_INTERVAL.as_micros();
        let is_new = self.contacts.get(&other.address).is_none_or(|(known, at)| {
            known.incarnation != other.incarnation || now.since(*at) >= DEATH_TIMEOUT
        });
        if is_new {
            self.changed_at = now;
        }
        if is_known || self.contacts.len() < usize::try_from(discoverable).unwrap_or(usize::MAX) {
            self.contacts.insert(other.address, (other, now));
        }
    }

    /// Whether it has known the same others for `time`, all of them alive.
    pub fn is_settled(&self, now: TimePoint, time: Duration) -> bool {
        let all_alive = self.contacts.values().all(|(_, at)| now.since(*at) < DEATH_TIMEOUT);
        all_alive && now.since(self.changed_at) >= time && now.since(self.started_at) >= time
    }

    /// Whether it has been the owner of a key of its domain ever since `since`: nobody that goes before it lives, or did
    /// at any time after that.
    pub fn has_owned(&self, key: NameKey, since: TimePoint) -> bool {
        let rank = |host: &MemberUpdate| rendezvous_rank(key.0, host.incarnation.0);
        let domain = self.update.domain;
        let others = self.contacts.values().filter(|(update, _)| update.domain == domain);
        let mut before = others.filter(|(update, _)| rank(update) > rank(&self.update));
        before.all(|(_, at)| *at + DEATH_TIMEOUT <= since)
    }

    /// Whether it has contacts nobody yet.
    pub fn is_alone(&self) -> bool {
        self.contacts.is_empty()
    }

    /// Hosts of a domain that it takes to be alive, itself included.
    pub fn living(&self, now: TimePoint, domain: NameKey) -> Vec<MemberUpdate> {
        let contacts = self.contacts.values().filter(|(_, at)| now.since(*at) < DEATH_TIMEOUT);
        let all = contacts.map(|(update, _)| *update).chain(std::iter::once(self.update));
        all.filter(|update| update.domain == domain).collect()
    }

    /// Hosts of its own domain that it takes to be alive, and all that it ever contacts.
    pub fn domain_counts(&self, now: TimePoint) -> (usize, usize) {
        let domain = self.update.domain;
        let known = self.contacts.values().filter(|(update, _)| update.domain == domain).count();
        (self.living(now, domain).len(), known + 1)
    }
}

/// Hosts notice who is there; those that start know nobody at first.
pub(super) fn exchange_contacts<T: Default, B>(
    hosts: &mut [WorldHost<T>],
    network: &WorldNetwork<B>,
    now: TimePoint,
) {
    for index in 0..hosts.len() {
        for other in 0..hosts.len() {
            let reached = network.is_connected(index, other) && hosts[other].is_running(now);
            if index != other && reached && hosts[index].is_running(now) {
                let update = hosts[other].update;
                hosts[index].record_contact(now, update);
            }
        }
    }
}

/// The key of one of the world's domains.
pub(super) fn domain_key(index: usize) -> NameKey {
    NameKey::of(&format!("domain-{index}"))
}
