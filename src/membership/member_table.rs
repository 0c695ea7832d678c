use super::probe_round::{PendingProbe, RelayedProbe};
use super::{MemberRecord, MemberState, MemberUpdate, ProbeKind, ProbeMessage, ViewMark};
use crate::keys::{IncarnationId, NameKey, TimePoint};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

const UPDATES_PER_MESSAGE: usize = 6;
/// A failure domain from which nothing was received for this long counts as unreachable. Each of its hosts
/// sends its load to two hosts of other domains at least every 0.8 s.
const DOMAIN_SILENCE: Duration = Duration::from_millis(3000);

/// The hosts known to this host.
#[derive(Debug)]
pub struct MemberTable {
    pub(super) own: MemberUpdate,
    pub(super) view: ViewMark,
    pub(super) members: BTreeMap<IncarnationId, MemberRecord>,
    pub(super) seeds: Vec<SocketAddr>,
    pub(super) probes: Vec<PendingProbe>,
    pub(super) relayed_probes: Vec<RelayedProbe>,
    pub(super) sequence: u32,
    pub(super) rounds: u64,
    pub(super) next_probe_at: TimePoint,
    pub(super) next_compare_at: TimePoint,
    /// When an update last changed another host's record.
    pub(super) changed_at: TimePoint,
    /// When this host last learned that others had declared it dead.
    pub(super) declared_dead_at: Option<TimePoint>,
    /// Since when received digests differ from this host's digest.
    pub(super) differs_since: Option<TimePoint>,
    /// When a datagram from each failure domain was last received.
    pub(super) domains_received_at: HashMap<NameKey, TimePoint>,
    pub(super) salt: u64,
}

impl MemberTable {
    /// A table that contains only this host and the seeds to contact first.
    pub fn new(own: MemberUpdate, seeds: Vec<SocketAddr>, salt: u64) -> Self {
        Self {
            own,
            view: ViewMark::default(),
            members: BTreeMap::new(),
            seeds,
            probes: Vec::new(),
            relayed_probes: Vec::new(),
            sequence: 0,
            rounds: 0,
            next_probe_at: TimePoint::CLOCK_START,
            next_compare_at: TimePoint::CLOCK_START,
            changed_at: TimePoint::CLOCK_START,
            declared_dead_at: None,
            differs_since: None,
            domains_received_at: HashMap::new(),
            salt,
        }
    }

    /// The update of this host itself.
    pub fn own(&self) -> MemberUpdate {
        self.own
    }

    /// Announces that this host is draining.
    pub fn start_draining(&mut self) {
        self.own.state = MemberState::Leaving;
        self.own.version += 1;
    }

    /// Replaces the seeds; hosts already known stay.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Sets the versions of the view that this host announces.
    pub fn set_view(&mut self, view: ViewMark) {
        self.view = view;
    }

    /// The updates of all known hosts, including dead ones and this one.
    pub fn all(&self) -> impl Iterator<Item = MemberUpdate> {
        std::iter::once(self.own).chain(self.members.values().map(|record| record.update))
    }

    /// The records of all known hosts except this one.
    pub fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.values()
    }

    /// Whether the table has seeds but no other host was met since this host started.
    pub fn is_alone(&self) -> bool {
        self.members.is_empty() && !self.seeds.is_empty()
    }

    /// Whether other hosts declared this host dead after `since`, in which case it lost its ownerships.
    pub fn was_declared_dead(&self, since: TimePoint) -> bool {
        self.declared_dead_at.is_some_and(|at| at > since)
    }

    /// The record of one incarnation.
    pub fn record(&self, incarnation: IncarnationId) -> Option<&MemberRecord> {
        self.members.get(&incarnation)
    }

    /// Hosts that may be owners, including this one: those that are alive or merely suspected.
    pub fn living(&self) -> impl Iterator<Item = (u64, MemberUpdate)> {
        self.all()
            .filter(|update| update.state.is_living())
            .map(|update| (update.incarnation.0, update))
    }

    /// The living hosts, except those of failure domains from which messages used to arrive and no longer do. If a
    /// whole domain is lost or partitioned off, its hosts are not declared dead but cannot be reached.
    pub fn reachable(&self, now: TimePoint) -> impl Iterator<Item = MemberUpdate> {
        self.living().map(|(_, update)| update).filter(move |update| {
            let received_at = self.domains_received_at.get(&update.domain);
            update.domain == self.own.domain
                || received_at.is_none_or(|at| now.since(*at) < DOMAIN_SILENCE)
        })
    }

    /// Records that a datagram was received from a host, whether a probe or another one.
    pub fn record_received(&mut self, now: TimePoint, incarnation: IncarnationId) {
        if let Some(record) = self.members.get_mut(&incarnation) {
            record.received_at = Some(now);
            let domain = record.update.domain;
            self.domains_received_at.insert(domain, now);
        }
    }

    /// Time since anything was received from another living host that is `wanted`; `None` if there is no such host.
    pub fn silent_for(
        &self,
        now: TimePoint,
        wanted: impl Fn(IncarnationId) -> bool,
    ) -> Option<Duration> {
        let living = self.members.values().filter(|record| record.update.state.is_living());
        let wanted = living.filter(|record| wanted(record.update.incarnation));
        // For a host from which nothing was received yet, the time counts from the update that named it.
        let last = wanted.map(|record| record.received_at.unwrap_or(record.since)).max();
        last.map(|at| now.since(at))
    }

    /// The living hosts of `domain`.
    pub fn living_in(&self, domain: NameKey) -> impl Iterator<Item = (u64, MemberUpdate)> {
        self.living().filter(move |(_, update)| update.domain == domain)
    }

    /// All updates, for a host that joins or compares tables.
    pub fn all_updates(&self) -> Vec<MemberUpdate> {
        self.all().collect()
    }

    pub(super) fn message(&mut self, sequence: u32, kind: ProbeKind) -> ProbeMessage {
        let mut unsent: Vec<IncarnationId> = self
            .members
            .iter()
            .filter(|(_, record)| record.sends_left > 0)
            .map(|(incarnation, _)| *incarnation)
            .collect();
        unsent.sort_by_key(|key| std::cmp::Reverse(self.members[key].sends_left));
        unsent.truncate(UPDATES_PER_MESSAGE);
        let mut updates = Vec::with_capacity(unsent.len());
        for key in unsent {
            if let Some(record) = self.members.get_mut(&key) {
                record.sends_left -= 1;
                updates.push(record.update);
            }
        }
        ProbeMessage {
            sender: self.own,
            sequence,
            kind,
            view: self.view,
            digest: self.digest(),
            updates,
        }
    }
}
