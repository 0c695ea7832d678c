use super::{ServerEntry, ServerUpdate};
use crate::keys::{IdKey, ServerKey, TimePoint};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A host's record of one server.
#[derive(Debug, Clone)]
pub(super) struct FleetRecord {
    pub entry: ServerEntry,
    /// Store revision at which the entry last changed.
    pub changed_at: u64,
    /// Time at which the server is dropped, if its entry expired around an outage of the store.
    pub expires_at: Option<TimePoint>,
    /// Time until which the server is cold, if it reported that.
    pub cold_until: Option<TimePoint>,
}

impl FleetRecord {
    /// The record as it is told to another host at `now`.
    pub fn update_at(&self, now: TimePoint) -> ServerUpdate {
        let left_ms = |at: TimePoint| at.since(now).as_millis();
        let cold_left_ms =
            self.cold_until.map_or(0, |at| u32::try_from(left_ms(at)).unwrap_or(u32::MAX));
        ServerUpdate {
            entry: self.entry.clone(),
            changed_at: self.changed_at,
            expires_in_ms: self.expires_at.map(|at| u64::try_from(left_ms(at)).unwrap_or(u64::MAX)),
            cold_left_ms,
        }
    }
}

/// The known servers with one incarnation of each id, indexed by id and by incarnation key.
#[derive(Debug, Clone, Default)]
pub(super) struct ServerRecords {
    records: BTreeMap<IdKey, FleetRecord>,
    ids: HashMap<ServerKey, IdKey>,
    /// Servers that are or were cold, so that finding them does not scan thousands of warm servers.
    cold: BTreeSet<IdKey>,
}

impl ServerRecords {
    /// Inserts a record and replaces any other incarnation of its id.
    pub fn insert(&mut self, record: FleetRecord) {
        let id = record.entry.id_key();
        self.remove(id);
        self.ids.insert(record.entry.key(), id);
        if record.cold_until.is_some() {
            self.cold.insert(id);
        }
        self.records.insert(id, record);
    }

    /// Removes the record of an id, whichever incarnation it describes.
    pub fn remove(&mut self, id: IdKey) -> Option<FleetRecord> {
        let record = self.records.remove(&id)?;
        self.ids.remove(&record.entry.key());
        self.cold.remove(&id);
        Some(record)
    }

    /// The record of an id, whichever incarnation it describes.
    pub fn get(&self, id: IdKey) -> Option<&FleetRecord> {
        self.records.get(&id)
    }

    /// The record of one incarnation.
    pub fn incarnation(&self, key: ServerKey) -> Option<&FleetRecord> {
        self.get(*self.ids.get(&key)?)
    }

    /// All records.
    pub fn iter(&self) -> impl Iterator<Item = &FleetRecord> {
        self.records.values()
    }

    /// Records of servers that are cold.
    pub fn cold(&self, now: TimePoint) -> impl Iterator<Item = &FleetRecord> {
        let records = self.cold.iter().filter_map(|id| self.get(*id));
        records.filter(move |record| record.cold_until.is_some_and(|until| now < until))
    }

    /// Ids of the records for which `matches` returns true.
    pub fn ids(&self, matches: impl Fn(&FleetRecord) -> bool) -> Vec<IdKey> {
        let matching = self.records.iter().filter(|(_, record)| matches(record));
        matching.map(|(id, _)| *id).collect()
    }
}
