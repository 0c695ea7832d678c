use super::change_history::ChangeHistory;
use super::server_records::{FleetRecord, ServerRecords};
use super::store_gap::{AnswerSource, StoreGap};
use super::{
    FleetChange, FleetUpdate, IncarnationChange, ListSpan, ServerEntry, ServerStage, ServerState,
    ServerUpdate,
};
use crate::keys::{IdKey, NameKey, ServerKey, TimePoint};
use crate::routes::ServiceKey;
use std::collections::BTreeSet;
use std::time::Duration;

/// The backend servers known to this host, with the latest incarnation of each id.
#[derive(Debug, Clone, Default)]
pub struct FleetView {
    /// The failure domain of this host, if it has one.
    domain: Option<NameKey>,
    revision: u64,
    records: ServerRecords,
    history: ChangeHistory,
    gap: StoreGap,
}

impl FleetView {
    /// An empty view of a host of `domain`.
    pub fn in_domain(domain: NameKey) -> Self {
        Self { domain: Some(domain), ..Self::default() }
    }

    /// The newest store revision that this view contains.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Records that the store answered this host now if `age` is zero, or that a host of another failure domain states that
    /// the store last answered some host `age` ago.
    pub fn record_store_answer(&mut self, now: TimePoint, age: Duration) {
        let source = if age.is_zero() { AnswerSource::Own } else { AnswerSource::OtherDomain };
        self.gap.record_answer(now, Some(age), source);
    }

    /// Records what another host states, one of the same failure domain if `is_local`: that the store last answered some
    /// host `age` ago, or that it knows of no answer.
    pub fn record_store_statement(
        &mut self,
        now: TimePoint,
        age: Option<Duration>,
        is_local: bool,
    ) {
        let source = if is_local { AnswerSource::SameDomain } else { AnswerSource::OtherDomain };
        self.gap.record_answer(now, age, source);
    }

    /// Time since the store last answered any host, as far as this host knows; `None` if it knows of no answer.
    pub fn store_age(&self, now: TimePoint) -> Option<Duration> {
        self.gap.age(now)
    }

    /// Applies a whole listing; servers that it does not contain are removed. Returns the servers whose listed
    /// incarnation differs from the known one.
    pub fn replace_all(
        &mut self,
        now: TimePoint,
        span: impl Into<ListSpan>,
        entries: Vec<ServerEntry>,
    ) -> Vec<IncarnationChange> {
        let span = span.into();
        if span.first < self.revision {
            return Vec::new();
        }
        let listed: BTreeSet<IdKey> = entries.iter().map(ServerEntry::id_key).collect();
        let missing = self.records.ids(|record| !listed.contains(&record.entry.id_key()));
        self.start_history(span);
        for id in missing {
            self.remove(now, id);
        }
        entries.into_iter().filter_map(|entry| self.apply_entry(now, entry)).collect()
    }

    /// Applies what an incomplete listing contains, or its entries that describe no usable server. Returns the servers
    /// whose listed incarnation differs from the known one.
    pub fn apply_listed(
        &mut self,
        now: TimePoint,
        span: impl Into<ListSpan>,
        changes: Vec<FleetChange>,
    ) -> Vec<IncarnationChange> {
        let span = span.into();
        if span.first >= self.revision {
            self.start_history(span);
        }
        self.apply(now, span.first, changes)
    }

    /// Applies changes up to `revision`; ignores them if the view is newer. Returns the servers whose received
    /// incarnation differs from the known one.
    pub fn apply(
        &mut self,
        now: TimePoint,
        revision: u64,
        changes: Vec<FleetChange>,
    ) -> Vec<IncarnationChange> {
        if revision < self.revision {
            return Vec::new();
        }
        if self.revision == 0 {
            self.history.start_at(revision);
        }
        self.revision = revision;
        let mut incarnations = Vec::new();
        for change in changes {
            match change {
                FleetChange::Updated(entry) => incarnations.extend(self.apply_entry(now, entry)),
                FleetChange::Removed(id) => self.remove(now, id),
                FleetChange::Unusable(id) => self.remove_now(id),
            }
        }
        incarnations
    }

    /// Advances to a listing. It says nothing of servers that came and left before it, and the events of changes between
    /// its pages may change nothing any more, so that hosts which are behind its newest page get a whole view.
    fn start_history(&mut self, span: ListSpan) {
        self.revision = span.first;
        self.history.start_at(span.last);
    }

    /// The update for a host whose view has revision `since`: the changes after it, or all servers if the
    /// single changes are no longer known.
    ///
    /// A whole view for each change would send 24 KB for 266 servers, or 270 KB for 3,000, to every host.
    pub fn update_since(&self, now: TimePoint, since: u64) -> FleetUpdate {
        let is_partial = self.history.covers(since);
        let after = if is_partial { since } else { 0 };
        let changed = self.records.iter().filter(|record| record.changed_at > after);
        let removed = self.history.removals_after(after).filter(|_| is_partial);
        FleetUpdate {
            revision: self.revision,
            is_partial,
            servers: changed.map(|record| record.update_at(now)).collect(),
            removed: removed.collect(),
        }
    }

    /// Applies another host's update if it is newer than this view. Returns the servers whose received
    /// incarnation differs from the known one.
    pub fn apply_update(&mut self, now: TimePoint, update: FleetUpdate) -> Vec<IncarnationChange> {
        if update.revision <= self.revision {
            return Vec::new();
        }
        let is_first = self.revision == 0;
        self.revision = update.revision;
        if !update.is_partial {
            self.remove_unlisted(&update);
        }
        for (id, at) in update.removed {
            self.records.remove(id);
            self.history.record_removal(id, at);
        }
        let servers = update.servers.into_iter();
        servers.filter_map(|server| self.apply_server(now, server, is_first)).collect()
    }

    /// Removes the servers that a whole view does not contain.
    fn remove_unlisted(&mut self, update: &FleetUpdate) {
        let listed: BTreeSet<IdKey> =
            update.servers.iter().map(|server| server.entry.id_key()).collect();
        for id in self.records.ids(|record| !listed.contains(&record.entry.id_key())) {
            self.records.remove(id);
            self.history.record_removal(id, update.revision);
        }
        self.history.start_at(update.revision);
    }

    /// Applies another host's state of a server. One whose entry is gone, and which the other host keeps for a while, is
    /// taken over only where it is still in use: the newer revision of the other host's view says nothing about it, and what
    /// is remembered of removals is bounded.
    fn apply_server(
        &mut self,
        now: TimePoint,
        server: ServerUpdate,
        is_first: bool,
    ) -> Option<IncarnationChange> {
        let is_known = is_first || self.records.get(server.entry.id_key()).is_some();
        if server.expires_in_ms.is_some() && !is_known {
            return None;
        }
        let cold_until = cold_until(now, server.cold_left_ms);
        self.insert(FleetRecord {
            entry: server.entry,
            changed_at: server.changed_at,
            expires_at: server.expires_in_ms.map(|millis| now + Duration::from_millis(millis)),
            cold_until,
        })
    }

    /// Drops the servers whose entries did not come back in time, and returns them.
    pub fn expire(&mut self, now: TimePoint) -> Vec<ServerEntry> {
        let due = self.records.ids(|record| record.expires_at.is_some_and(|at| now >= at));
        let mut dropped = Vec::new();
        for id in due {
            if let Some(record) = self.records.remove(id) {
                self.history.record_removal(id, record.changed_at);
                dropped.push(record.entry);
            }
        }
        dropped
    }

    /// Servers of `service` that may get new work.
    pub fn ready(&self, service: ServiceKey) -> impl Iterator<Item = &ServerEntry> {
        self.entries()
            .filter(move |entry| entry.service == service && entry.state == ServerState::Ready)
    }

    /// Servers of `service` and `stage` that may get new work.
    pub fn ready_in_stage(
        &self,
        service: ServiceKey,
        stage: ServerStage,
    ) -> impl Iterator<Item = &ServerEntry> {
        self.ready(service).filter(move |entry| entry.stage == Some(stage))
    }

    /// Whether a server may currently get new work. A server chosen earlier may no longer be ready.
    pub fn is_ready(&self, key: ServerKey) -> bool {
        self.entry(key).is_some_and(|entry| entry.state == ServerState::Ready)
    }

    /// The entry of one incarnation of a server, in any state.
    pub fn entry(&self, key: ServerKey) -> Option<&ServerEntry> {
        self.records.incarnation(key).map(|record| &record.entry)
    }

    /// Whether a server has restarted since it was chosen; the new incarnation has none of the state of the
    /// chosen one.
    pub fn has_restarted(&self, chosen: &ServerEntry) -> bool {
        let known = self.records.get(chosen.id_key());
        known.is_some_and(|record| record.entry.started_at != chosen.started_at)
    }

    /// Cold servers and the time until which each is cold.
    pub fn cold(&self, now: TimePoint) -> impl Iterator<Item = (&ServerEntry, TimePoint)> {
        let records = self.records.cold(now);
        records.filter_map(|record| Some((&record.entry, record.cold_until?)))
    }

    /// All entries, in any state.
    pub fn entries(&self) -> impl Iterator<Item = &ServerEntry> {
        self.records.iter().map(|record| &record.entry)
    }

    /// Applies an entry; an unchanged entry counts as no change.
    fn apply_entry(&mut self, now: TimePoint, entry: ServerEntry) -> Option<IncarnationChange> {
        let known = self.records.get(entry.id_key());
        if known.is_some_and(|record| record.entry == entry && record.expires_at.is_none()) {
            return None;
        }
        let cold_until = cold_until(now, entry.cold_ms);
        self.insert(FleetRecord { entry, changed_at: self.revision, expires_at: None, cold_until })
    }

    /// Inserts a record, unless it is about an earlier incarnation than the known one.
    fn insert(&mut self, record: FleetRecord) -> Option<IncarnationChange> {
        let id = record.entry.id_key();
        let known = self.records.get(id);
        let change =
            known.and_then(|known| IncarnationChange::between(&known.entry, &record.entry));
        if change.as_ref().is_some_and(IncarnationChange::is_outdated) {
            return change;
        }
        self.history.record_entry(id);
        self.records.insert(record);
        change
    }

    /// Removes a server. Near an outage its entry may merely have expired, so the server is kept for a grace period.
    fn remove(&mut self, now: TimePoint, id: IdKey) {
        let revision = self.revision;
        let Some(mut record) = self.records.remove(id) else {
            return;
        };
        let is_local = self.domain == Some(record.entry.domain);
        let grace_end = self.gap.grace_end(now, is_local);
        match grace_end.filter(|_| record.entry.state == ServerState::Ready) {
            Some(end) => {
                record.expires_at = Some(end);
                record.changed_at = revision;
                self.records.insert(record);
            }
            None => self.history.record_removal(id, revision),
        }
    }

    fn remove_now(&mut self, id: IdKey) {
        if self.records.remove(id).is_some() {
            self.history.record_removal(id, self.revision);
        }
    }
}

/// Time until which a server is cold, given the milliseconds left; `None` if it is warm.
fn cold_until(now: TimePoint, left_ms: u32) -> Option<TimePoint> {
    (left_ms > 0).then(|| now + Duration::from_millis(left_ms.into()))
}
