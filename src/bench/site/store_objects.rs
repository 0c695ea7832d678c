use super::object_body::{ObjectBody, enclose};
use serde_json::Value;
use std::collections::BTreeMap;

/// Number of changes kept; a watcher that missed more has to list again.
const HISTORY_LIMIT: usize = 256;

/// An object with the revision of its last change.
#[derive(Debug, Clone, PartialEq)]
struct StoredObject {
    revision: u64,
    body: ObjectBody,
}

#[derive(Debug, Clone, PartialEq)]
struct ObjectChange {
    revision: u64,
    kind: String,
    name: String,
    body: ObjectBody,
    is_deleted: bool,
}

/// The outcome of a conditional write; objects are encoded as in responses.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum WriteOutcome {
    Written(Vec<u8>),
    Conflict(Vec<u8>),
    Missing,
}

/// The objects of a stand-in store, with a shared revision counter and a history of changes.
#[derive(Debug, Clone, Default)]
pub struct StoreObjects {
    revision: u64,
    objects: BTreeMap<(String, String), StoredObject>,
    history: Vec<ObjectChange>,
    /// Changes up to this revision are no longer in the history.
    compacted_revision: u64,
}

impl StoreObjects {
    /// The current revision.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Creates or replaces an object.
    pub fn set(&mut self, kind: &str, name: &str, spec: Value) {
        self.put(kind, name, ObjectBody::Spec(spec));
    }

    /// Creates or replaces an object whose spec need not be JSON or text.
    pub fn set_raw_spec(&mut self, kind: &str, name: &str, spec: &[u8]) {
        self.put(kind, name, ObjectBody::RawSpec(spec.to_vec()));
    }

    /// Creates or replaces an object that responses contain as exactly these bytes, without the store's own
    /// metadata. `name` determines its position in lists.
    pub fn set_raw_item(&mut self, kind: &str, name: &str, item: &[u8]) {
        self.put(kind, name, ObjectBody::RawItem(item.to_vec()));
    }

    fn put(&mut self, kind: &str, name: &str, body: ObjectBody) {
        self.revision += 1;
        let key = (kind.to_owned(), name.to_owned());
        self.objects.insert(key, StoredObject { revision: self.revision, body: body.clone() });
        self.record(kind, name, body, false);
    }

    /// Removes an object.
    pub fn remove(&mut self, kind: &str, name: &str) {
        let removed = self.objects.remove(&(kind.to_owned(), name.to_owned()));
        if let Some(object) = removed {
            self.revision += 1;
            self.record(kind, name, object.body, true);
        }
    }

    /// Discards the history.
    pub fn compact(&mut self) {
        self.history.clear();
        self.compacted_revision = self.revision;
    }

    fn record(&mut self, kind: &str, name: &str, body: ObjectBody, is_deleted: bool) {
        if self.history.len() >= HISTORY_LIMIT {
            self.compacted_revision = self.history.remove(0).revision;
        }
        self.history.push(ObjectChange {
            revision: self.revision,
            kind: kind.to_owned(),
            name: name.to_owned(),
            body,
            is_deleted,
        });
    }

    /// A page of a list.
    pub(super) fn page(&self, kind: &str, after: &str, page_size: usize) -> Vec<u8> {
        let mut items: Vec<Vec<u8>> = self
            .objects
            .iter()
            .filter(|((of, name), _)| of == kind && name.as_str() > after)
            .map(|((_, name), object)| object.body.item(name, object.revision))
            .collect();
        let more = items.len() > page_size;
        items.truncate(page_size);
        let at = self.revision;
        enclose("{\"items\":[", &items.join(&b","[..]), &format!("],\"more\":{more},\"at\":{at}}}"))
    }

    /// An object, encoded as in responses.
    pub(super) fn get(&self, kind: &str, name: &str) -> Option<Vec<u8>> {
        let object = self.objects.get(&(kind.to_owned(), name.to_owned()))?;
        Some(object.body.item(name, object.revision))
    }

    /// An object's spec, if it is JSON.
    pub(super) fn spec(&self, kind: &str, name: &str) -> Option<Value> {
        match &self.objects.get(&(kind.to_owned(), name.to_owned()))?.body {
            ObjectBody::Spec(spec) => Some(spec.clone()),
            ObjectBody::RawSpec(_) | ObjectBody::RawItem(_) => None,
        }
    }

    /// The response to a watch on a kind after a revision, and whether it contains events; `None` if the
    /// history no longer covers that revision.
    pub(super) fn changes(&self, kind: &str, after: u64) -> Option<(Vec<u8>, bool)> {
        if after < self.compacted_revision {
            return None;
        }
        let is_newer = |change: &&ObjectChange| change.kind == kind && change.revision > after;
        let events = self.history.iter().filter(is_newer).map(|change| {
            let object = change.body.item(&change.name, change.revision);
            enclose("{\"object\":", &object, &format!(",\"gone\":{}}}", change.is_deleted))
        });
        let events: Vec<Vec<u8>> = events.collect();
        let end = format!("],\"at\":{}}}", self.revision);
        Some((enclose("{\"events\":[", &events.join(&b","[..]), &end), !events.is_empty()))
    }

    /// Creates an object; a conflict if it already exists.
    pub(super) fn create(&mut self, kind: &str, name: &str, spec: Value) -> WriteOutcome {
        if let Some(stored) = self.get(kind, name) {
            return WriteOutcome::Conflict(stored);
        }
        self.set(kind, name, spec);
        WriteOutcome::Written(self.get(kind, name).unwrap_or_default())
    }

    /// Replaces an object; a conflict if its revision is not `expected`.
    pub(super) fn replace(
        &mut self,
        kind: &str,
        name: &str,
        expected: u64,
        spec: Value,
    ) -> WriteOutcome {
        let Some(stored) = self.objects.get(&(kind.to_owned(), name.to_owned())) else {
            return WriteOutcome::Missing;
        };
        if stored.revision != expected {
            return WriteOutcome::Conflict(self.get(kind, name).unwrap_or_default());
        }
        self.set(kind, name, spec);
        WriteOutcome::Written(self.get(kind, name).unwrap_or_default())
    }
}
