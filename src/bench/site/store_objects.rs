use super::object_body::{ObjectBody, wrapped};
use serde_json::Value;
use std::collections::BTreeMap;

/// Changes that are kept; as many as a watcher may miss before it lists again.
const HISTORY: usize = 256;

/// One object with the revision of its last change.
#[derive(Debug, Clone, PartialEq)]
struct HeldObject {
    revision: u64,
    body: ObjectBody,
}

#[derive(Debug, Clone, PartialEq)]
struct HeldChange {
    revision: u64,
    kind: String,
    name: String,
    body: ObjectBody,
    gone: bool,
}

/// What became of a conditional write; objects are given as they stand in an answer.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum PutEnd {
    Written(Vec<u8>),
    Conflict(Vec<u8>),
    Missing,
}

/// The objects of a stand-in store, with one counter of revisions and a history of changes.
#[derive(Debug, Clone, Default)]
pub struct StoreObjects {
    revision: u64,
    objects: BTreeMap<(String, String), HeldObject>,
    history: Vec<HeldChange>,
    /// Changes up to this revision are forgotten.
    forgotten: u64,
}

impl StoreObjects {
    /// The newest revision.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Creates or replaces an object.
    pub fn set(&mut self, kind: &str, name: &str, spec: Value) {
        self.hold(kind, name, ObjectBody::Spec(spec));
    }

    /// Creates or replaces an object whose contents may be no JSON, or no text at all.
    pub fn set_raw_spec(&mut self, kind: &str, name: &str, spec: &[u8]) {
        self.hold(kind, name, ObjectBody::RawSpec(spec.to_vec()));
    }

    /// Creates or replaces an object that stands in answers as these bytes, without the store's own
    /// metadata. It has its place among the others by `name`.
    pub fn set_raw_item(&mut self, kind: &str, name: &str, item: &[u8]) {
        self.hold(kind, name, ObjectBody::RawItem(item.to_vec()));
    }

    fn hold(&mut self, kind: &str, name: &str, body: ObjectBody) {
        self.revision += 1;
        let key = (kind.to_owned(), name.to_owned());
        self.objects.insert(key, HeldObject { revision: self.revision, body: body.clone() });
        self.note(kind, name, body, false);
    }

    /// Removes an object.
    pub fn remove(&mut self, kind: &str, name: &str) {
        let removed = self.objects.remove(&(kind.to_owned(), name.to_owned()));
        if let Some(object) = removed {
            self.revision += 1;
            self.note(kind, name, object.body, true);
        }
    }

    /// Forgets all history.
    pub fn compact(&mut self) {
        self.history.clear();
        self.forgotten = self.revision;
    }

    fn note(&mut self, kind: &str, name: &str, body: ObjectBody, gone: bool) {
        if self.history.len() >= HISTORY {
            self.forgotten = self.history.remove(0).revision;
        }
        self.history.push(HeldChange {
            revision: self.revision,
            kind: kind.to_owned(),
            name: name.to_owned(),
            body,
            gone,
        });
    }

    /// A page of a listing.
    pub(super) fn page(&self, kind: &str, after: &str, most: usize) -> Vec<u8> {
        let mut items: Vec<Vec<u8>> = self
            .objects
            .iter()
            .filter(|((of, name), _)| of == kind && name.as_str() > after)
            .map(|((_, name), object)| object.body.item(name, object.revision))
            .collect();
        let more = items.len() > most;
        items.truncate(most);
        let at = self.revision;
        wrapped("{\"items\":[", &items.join(&b","[..]), &format!("],\"more\":{more},\"at\":{at}}}"))
    }

    /// One object.
    pub(super) fn get(&self, kind: &str, name: &str) -> Option<Vec<u8>> {
        let object = self.objects.get(&(kind.to_owned(), name.to_owned()))?;
        Some(object.body.item(name, object.revision))
    }

    /// An object's contents, if they are JSON.
    pub(super) fn spec(&self, kind: &str, name: &str) -> Option<Value> {
        match &self.objects.get(&(kind.to_owned(), name.to_owned()))?.body {
            ObjectBody::Spec(spec) => Some(spec.clone()),
            ObjectBody::RawSpec(_) | ObjectBody::RawItem(_) => None,
        }
    }

    /// The answer to a watch on a kind after a revision and whether it tells anything; `None` if the
    /// changes are forgotten.
    pub(super) fn changes(&self, kind: &str, after: u64) -> Option<(Vec<u8>, bool)> {
        if after < self.forgotten {
            return None;
        }
        let fresh = |change: &&HeldChange| change.kind == kind && change.revision > after;
        let events = self.history.iter().filter(fresh).map(|change| {
            let object = change.body.item(&change.name, change.revision);
            wrapped("{\"object\":", &object, &format!(",\"gone\":{}}}", change.gone))
        });
        let events: Vec<Vec<u8>> = events.collect();
        let end = format!("],\"at\":{}}}", self.revision);
        Some((wrapped("{\"events\":[", &events.join(&b","[..]), &end), !events.is_empty()))
    }

    /// Creates an object that must not exist.
    pub(super) fn create(&mut self, kind: &str, name: &str, spec: Value) -> PutEnd {
        if let Some(held) = self.get(kind, name) {
            return PutEnd::Conflict(held);
        }
        self.set(kind, name, spec);
        PutEnd::Written(self.get(kind, name).unwrap_or_default())
    }

    /// Replaces an object whose revision is the expected one.
    pub(super) fn replace(&mut self, kind: &str, name: &str, expected: u64, spec: Value) -> PutEnd {
        let Some(held) = self.objects.get(&(kind.to_owned(), name.to_owned())) else {
            return PutEnd::Missing;
        };
        if held.revision != expected {
            return PutEnd::Conflict(self.get(kind, name).unwrap_or_default());
        }
        self.set(kind, name, spec);
        PutEnd::Written(self.get(kind, name).unwrap_or_default())
    }
}
