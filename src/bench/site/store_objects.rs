use serde_json::{Value, json};
use std::collections::BTreeMap;

/// Changes that are kept; as many as a watcher may miss before it lists again.
const HISTORY: usize = 256;

/// One object with the revision of its last change.
#[derive(Debug, Clone, PartialEq)]
struct HeldObject {
    revision: u64,
    spec: Value,
}

#[derive(Debug, Clone, PartialEq)]
struct HeldChange {
    revision: u64,
    kind: String,
    name: String,
    spec: Value,
    gone: bool,
}

/// What became of a conditional write.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum PutEnd {
    Written(Value),
    Conflict(Value),
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
        self.revision += 1;
        let key = (kind.to_owned(), name.to_owned());
        self.objects.insert(key, HeldObject { revision: self.revision, spec: spec.clone() });
        self.note(kind, name, spec, false);
    }

    /// Removes an object.
    pub fn remove(&mut self, kind: &str, name: &str) {
        let removed = self.objects.remove(&(kind.to_owned(), name.to_owned()));
        if let Some(object) = removed {
            self.revision += 1;
            self.note(kind, name, object.spec, true);
        }
    }

    /// Forgets all history.
    pub fn compact(&mut self) {
        self.history.clear();
        self.forgotten = self.revision;
    }

    fn note(&mut self, kind: &str, name: &str, spec: Value, gone: bool) {
        if self.history.len() >= HISTORY {
            self.forgotten = self.history.remove(0).revision;
        }
        self.history.push(HeldChange {
            revision: self.revision,
            kind: kind.to_owned(),
            name: name.to_owned(),
            spec,
            gone,
        });
    }

    /// A page of a listing.
    pub(super) fn page(&self, kind: &str, after: &str, most: usize) -> Value {
        let mut items: Vec<Value> = self
            .objects
            .iter()
            .filter(|((of, name), _)| of == kind && name.as_str() > after)
            .map(|((_, name), object)| object_json(name, object.revision, &object.spec))
            .collect();
        let more = items.len() > most;
        items.truncate(most);
        json!({"items": items, "more": more, "at": self.revision})
    }

    /// One object.
    pub(super) fn get(&self, kind: &str, name: &str) -> Option<Value> {
        let object = self.objects.get(&(kind.to_owned(), name.to_owned()))?;
        Some(object_json(name, object.revision, &object.spec))
    }

    /// Changes of a kind after a revision; `None` if they are forgotten.
    pub(super) fn changes(&self, kind: &str, after: u64) -> Option<Vec<Value>> {
        if after < self.forgotten {
            return None;
        }
        let fresh = |change: &&HeldChange| change.kind == kind && change.revision > after;
        let events = self.history.iter().filter(fresh).map(|change| {
            let object = object_json(&change.name, change.revision, &change.spec);
            json!({"object": object, "gone": change.gone})
        });
        Some(events.collect())
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

fn object_json(name: &str, revision: u64, spec: &Value) -> Value {
    let metadata =
        json!({"name": name, "revision": revision, "made": 1, "finalizers": [], "deleting": false});
    json!({"metadata": metadata, "spec": spec, "status": null})
}
