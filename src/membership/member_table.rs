use super::probe_round::{Errand, OpenProbe};
use super::{
    MemberRecord, MemberState, MemberUpdate, ProbeKind, ProbeMessage, TableAction, ViewMark,
};
use crate::keys::{IncarnationId, NameKey, TimePoint};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

const UPDATES_PER_MESSAGE: usize = 6;
/// News is repeated this many times per host that carries it, times log2 of the table.
const REPEATS: u32 = 3;
/// A failure domain of which nothing was heard for this long counts as out of reach. Each of its hosts
/// tells two hosts of other domains of its load at least every 0.8 s.
const DOMAIN_SILENCE: Duration = Duration::from_millis(3000);

/// The hosts as this host knows them.
#[derive(Debug)]
pub struct MemberTable {
    pub(super) own: MemberUpdate,
    pub(super) view: ViewMark,
    pub(super) members: BTreeMap<IncarnationId, MemberRecord>,
    pub(super) seeds: Vec<SocketAddr>,
    pub(super) probes: Vec<OpenProbe>,
    pub(super) errands: Vec<Errand>,
    pub(super) sequence: u32,
    pub(super) rounds: u64,
    pub(super) next_probe: TimePoint,
    pub(super) next_compare: TimePoint,
    /// When the last news about another host came.
    pub(super) changed_at: TimePoint,
    /// When this host last heard that others took it for dead.
    pub(super) declared_dead_at: Option<TimePoint>,
    /// Since when the hosts that write believe in others than this one does.
    pub(super) differs_since: Option<TimePoint>,
    /// When a host of each other failure domain was last heard.
    pub(super) domains_heard: HashMap<NameKey, TimePoint>,
    pub(super) salt: u64,
}

impl MemberTable {
    /// A table that knows only its own host and where to begin.
    pub fn new(own: MemberUpdate, seeds: Vec<SocketAddr>, salt: u64) -> Self {
        Self {
            own,
            view: ViewMark::default(),
            members: BTreeMap::new(),
            seeds,
            probes: Vec::new(),
            errands: Vec::new(),
            sequence: 0,
            rounds: 0,
            next_probe: TimePoint::default(),
            next_compare: TimePoint::default(),
            changed_at: TimePoint::default(),
            declared_dead_at: None,
            differs_since: None,
            domains_heard: HashMap::new(),
            salt,
        }
    }

    /// This host's own news.
    pub fn own(&self) -> MemberUpdate {
        self.own
    }

    /// Announces that this host drains.
    pub fn start_draining(&mut self) {
        self.own.state = MemberState::Leaving;
        self.own.version += 1;
    }

    /// Replaces the hosts to begin with; those already known stay.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Sets how new a view this host tells others to have.
    pub fn set_view(&mut self, view: ViewMark) {
        self.view = view;
    }

    /// The news about every known host, dead ones and this one included.
    pub fn all(&self) -> impl Iterator<Item = MemberUpdate> {
        std::iter::once(self.own).chain(self.members.values().map(|record| record.update))
    }

    /// All known hosts but this one.
    pub fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.values()
    }

    /// Whether there should be others and none was met since this host started.
    pub fn is_alone(&self) -> bool {
        self.members.is_empty() && !self.seeds.is_empty()
    }

    /// Whether others took this host for dead at some time after `since`, and its place with that.
    pub fn was_declared_dead(&self, since: TimePoint) -> bool {
        self.declared_dead_at.is_some_and(|at| at > since)
    }

    /// The record of one incarnation.
    pub fn record(&self, incarnation: IncarnationId) -> Option<&MemberRecord> {
        self.members.get(&incarnation)
    }

    /// Hosts that may own things: alive or merely suspected, this host included.
    pub fn living(&self) -> impl Iterator<Item = (u64, MemberUpdate)> {
        self.all()
            .filter(|update| update.state.is_living())
            .map(|update| (update.incarnation.0, update))
    }

    /// Those of them whose failure domain was heard lately, or never yet: in a domain that is cut off
    /// or lost as a whole nobody is declared dead, and nobody there can be reached.
    pub fn reachable(&self, now: TimePoint) -> impl Iterator<Item = MemberUpdate> {
        self.living().map(|(_, update)| update).filter(move |update| {
            let heard = self.domains_heard.get(&update.domain);
            update.domain == self.own.domain
                || heard.is_none_or(|at| now.since(*at) < DOMAIN_SILENCE)
        })
    }

    /// A host was heard by another way than a probe.
    pub fn record_received(&mut self, now: TimePoint, incarnation: IncarnationId) {
        if let Some(record) = self.members.get_mut(&incarnation) {
            record.received_at = Some(now);
            let domain = record.update.domain;
            self.domains_heard.insert(domain, now);
        }
    }

    /// Time since anything was heard of any other host that lives and is one of those `wanted`; `None` if there is none.
    pub fn silent_for(
        &self,
        now: TimePoint,
        wanted: impl Fn(IncarnationId) -> bool,
    ) -> Option<Duration> {
        let living = self.members.values().filter(|record| record.update.state.is_living());
        let wanted = living.filter(|record| wanted(record.update.incarnation));
        // A host that was only told of may have been heard from the moment on at which that was.
        let heard = wanted.map(|record| record.received_at.unwrap_or(record.since)).max();
        heard.map(|at| now.since(at))
    }

    /// Those of them in `domain`.
    pub fn owners(&self, domain: NameKey) -> impl Iterator<Item = (u64, MemberUpdate)> {
        self.living().filter(move |(_, update)| update.domain == domain)
    }

    /// All news for a host that joins or compares notes.
    pub fn all_updates(&self) -> Vec<MemberUpdate> {
        self.all().collect()
    }

    /// Handles a datagram whose sender proved the shared key.
    pub fn receive(&mut self, now: TimePoint, message: &ProbeMessage) -> Vec<TableAction> {
        let mut orders = Vec::new();
        let sender = message.sender;
        self.merge(now, sender, &mut orders);
        for update in &message.updates {
            self.merge(now, *update, &mut orders);
        }
        self.record_received(now, sender.incarnation);
        if self.view.is_behind(message.view) {
            orders.push(TableAction::FetchView(sender.address));
        }
        if self.should_compare(now, message.digest) {
            orders.push(TableAction::Compare(sender.address));
        }
        match message.kind {
            ProbeKind::Ping => {
                let mut ack = self.message(message.sequence, ProbeKind::Ack);
                // A host that is believed gone hears of it, so that it can refute it.
                let wronged = self.members.get(&sender.incarnation).map(|record| record.update);
                ack.updates.extend(wronged.filter(|update| update.state >= MemberState::Suspect));
                orders.push(TableAction::Send(sender.address, ack));
            }
            ProbeKind::Ack => self.on_ack(sender.incarnation, message.sequence, &mut orders),
            ProbeKind::AckFor(target) => {
                self.probes.retain(|p| p.target != target || p.sequence != message.sequence);
            }
            ProbeKind::PingFor(target) => self.run_errand(now, message, target, &mut orders),
        }
        orders
    }

    /// Merges news that came by another way than a datagram.
    pub fn merge_all(&mut self, now: TimePoint, updates: &[MemberUpdate]) -> Vec<TableAction> {
        let mut orders = Vec::new();
        for update in updates {
            self.merge(now, *update, &mut orders);
        }
        orders
    }

    /// A connection to the host was refused: it is suspected at once, and not for long.
    pub fn record_refusal(&mut self, now: TimePoint, incarnation: IncarnationId) {
        let same_domain = self.own.domain;
        if let Some(record) = self.members.get_mut(&incarnation)
            && record.update.domain == same_domain
            && matches!(record.update.state, MemberState::Alive | MemberState::Leaving)
        {
            record.update.state = MemberState::Suspect;
            record.since = now;
            record.quick = true;
            record.sends_left = REPEATS * 4;
        }
    }

    fn merge(&mut self, now: TimePoint, update: MemberUpdate, orders: &mut Vec<TableAction>) {
        if update.incarnation == self.own.incarnation {
            let slandered = matches!(update.state, MemberState::Suspect | MemberState::Dead);
            if slandered && update.version >= self.own.version {
                self.own.version = update.version + 1;
                if update.state == MemberState::Dead {
                    self.declared_dead_at = Some(now);
                }
            }
            return;
        }
        let repeats = REPEATS * (usize::BITS - self.members.len().leading_zeros()).max(1);
        match self.members.get_mut(&update.incarnation) {
            Some(record) => {
                let known = (record.update.version, record.update.state);
                // A dead incarnation returns only by its own higher version, after a healed cut.
                if (update.version, update.state) <= known {
                    return;
                }
                self.changed_at = now;
                let died = update.state == MemberState::Dead && known.1 != MemberState::Dead;
                let kept = record.received_at;
                *record = MemberRecord {
                    update,
                    since: now,
                    received_at: kept,
                    quick: false,
                    sends_left: repeats,
                };
                if died {
                    orders.push(TableAction::Died(update.incarnation));
                }
            }
            None => {
                let record = MemberRecord {
                    update,
                    since: now,
                    received_at: None,
                    quick: false,
                    sends_left: repeats,
                };
                self.changed_at = now;
                self.members.insert(update.incarnation, record);
                self.retire_older_lives(now, update, orders);
            }
        }
    }

    /// A later life at the same address proves that the earlier ones ended.
    fn retire_older_lives(
        &mut self,
        now: TimePoint,
        newer: MemberUpdate,
        orders: &mut Vec<TableAction>,
    ) {
        for record in self.members.values_mut() {
            let older = record.update.address == newer.address
                && record.update.incarnation < newer.incarnation
                && record.update.state != MemberState::Dead;
            if older {
                record.update.state = MemberState::Dead;
                record.since = now;
                record.sends_left = REPEATS;
                orders.push(TableAction::Died(record.update.incarnation));
            }
        }
    }

    pub(super) fn message(&mut self, sequence: u32, kind: ProbeKind) -> ProbeMessage {
        let mut fresh: Vec<IncarnationId> = self
            .members
            .iter()
            .filter(|(_, record)| record.sends_left > 0)
            .map(|(incarnation, _)| *incarnation)
            .collect();
        fresh.sort_by_key(|key| std::cmp::Reverse(self.members[key].sends_left));
        fresh.truncate(UPDATES_PER_MESSAGE);
        let mut updates = Vec::with_capacity(fresh.len());
        for key in fresh {
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
