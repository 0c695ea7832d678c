use super::world_network::WorldNetwork;
use crate::keys::{IncarnationId, NameKey, TimePoint};
use crate::limits::SilentOwners;
use crate::membership::MemberUpdate;
use crate::placement::rendezvous_rank;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// A host that could not be reached for this long counts as dead.
const DEATH_TIMEOUT: Duration = Duration::from_millis(2000);
/// A newly started host discovers one other host per interval.
const DISCOVERY_INTERVAL: Duration = Duration::from_millis(15);

/// One simulated host and what it knows of the others.
#[derive(Debug)]
pub(super) struct WorldHost<T> {
    pub update: MemberUpdate,
    /// The state machines that the host runs.
    pub state: T,
    pub silent_owners: SilentOwners,
    pub suspended_until: TimePoint,
    started_at: TimePoint,
    host_count: u64,
    changed_at: TimePoint,
    contacts: BTreeMap<SocketAddr, (MemberUpdate, TimePoint)>,
}

impl<T: Default> WorldHost<T> {
    /// Creates the first incarnation of host `index` out of `host_count` hosts, with `domain_hosts` in each domain.
    pub fn new(index: usize, host_count: usize, domain_hosts: usize) -> Self {
        let port = 7000 + u16::try_from(index).unwrap_or_default();
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        let domain = domain_key(index / domain_hosts);
        Self {
            update: MemberUpdate::started(IncarnationId(index as u64), address, domain),
            host_count: host_count as u64,
            changed_at: TimePoint::CLOCK_START,
            state: T::default(),
            silent_owners: SilentOwners::default(),
            suspended_until: TimePoint::CLOCK_START,
            started_at: TimePoint::CLOCK_START,
            contacts: BTreeMap::new(),
        }
    }

    /// Ends this incarnation and starts the next one at `at` without any state. The incarnations of host `index` out
    /// of n are numbered index, index + n, and so on.
    pub fn restart(&mut self, at: TimePoint) {
        let incarnation = IncarnationId(self.update.incarnation.0 + self.host_count);
        self.update = MemberUpdate::started(incarnation, self.update.address, self.update.domain);
        self.state = T::default();
        self.silent_owners = SilentOwners::default();
        self.suspended_until = TimePoint::CLOCK_START;
        self.started_at = at;
        self.contacts.clear();
    }

    /// Whether the host has started and is not suspended.
    pub fn is_running(&self, now: TimePoint) -> bool {
        now >= self.started_at && now >= self.suspended_until
    }

    /// Time on the host's own clock, which starts at zero with each incarnation.
    pub fn local_time(&self, now: TimePoint) -> TimePoint {
        TimePoint::CLOCK_START + now.since(self.started_at)
    }

    /// Records that the host reached `other`. A host that has just started discovers others only gradually.
    pub fn record_contact(&mut self, now: TimePoint, other: MemberUpdate) {
        let is_known = self.contacts.contains_key(&other.address);
        let discoverable_count =
            now.since(self.started_at).as_micros() / DISCOVERY_INTERVAL.as_micros();
        let is_new = self.contacts.get(&other.address).is_none_or(|(known, at)| {
            known.incarnation != other.incarnation || now.since(*at) >= DEATH_TIMEOUT
        });
        if is_new {
            self.changed_at = now;
        }
        if is_known
            || self.contacts.len() < usize::try_from(discoverable_count).unwrap_or(usize::MAX)
        {
            self.contacts.insert(other.address, (other, now));
        }
    }

    /// Whether the host has known the same other hosts for `time`, all of them alive.
    pub fn is_settled(&self, now: TimePoint, time: Duration) -> bool {
        let all_alive = self.contacts.values().all(|(_, at)| now.since(*at) < DEATH_TIMEOUT);
        all_alive && now.since(self.changed_at) >= time && now.since(self.started_at) >= time
    }

    /// Whether the host has owned `key` in its domain ever since `since`: no host that precedes it in rendezvous order
    /// is alive, or was alive at any time after `since`.
    pub fn has_owned(&self, key: NameKey, since: TimePoint) -> bool {
        let rank = |host: &MemberUpdate| rendezvous_rank(key.0, host.incarnation.0);
        let domain = self.update.domain;
        let others = self.contacts.values().filter(|(update, _)| update.domain == domain);
        let mut preceding = others.filter(|(update, _)| rank(update) > rank(&self.update));
        preceding.all(|(_, at)| *at + DEATH_TIMEOUT <= since)
    }

    /// Whether the host has not contacted any other host yet.
    pub fn is_alone(&self) -> bool {
        self.contacts.is_empty()
    }

    /// Hosts of a domain that this host considers alive, including itself.
    pub fn living(&self, now: TimePoint, domain: NameKey) -> Vec<MemberUpdate> {
        let live_contacts = self.contacts.values().filter(|(_, at)| now.since(*at) < DEATH_TIMEOUT);
        let all = live_contacts.map(|(update, _)| *update).chain(std::iter::once(self.update));
        all.filter(|update| update.domain == domain).collect()
    }

    /// Number of hosts of its own domain that this host considers alive, and of all that it has ever contacted, both
    /// including itself.
    pub fn domain_counts(&self, now: TimePoint) -> (usize, usize) {
        let domain = self.update.domain;
        let known = self.contacts.values().filter(|(update, _)| update.domain == domain).count();
        (self.living(now, domain).len(), known + 1)
    }
}

/// Lets each running host contact all other running hosts that it can reach.
pub(super) fn update_contacts<T: Default, B>(
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

/// The key of the failure domain with this index.
pub(super) fn domain_key(index: usize) -> NameKey {
    NameKey::of(&format!("domain-{index}"))
}
