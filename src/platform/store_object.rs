//! The store's objects, as they are read out of its answers.

use serde_json::Value;

/// Bytes of the longest object that a store holds, with what stands around it in an answer.
pub const MAX_OBJECT_BYTES: usize = (1 << 20) + (16 << 10);

/// An object of the store.
#[derive(Debug, Clone, PartialEq)]
pub struct StoreObject {
    /// Its name within its kind.
    pub name: String,
    /// Revision of its last change.
    pub revision: u64,
    /// It is being removed.
    pub deleting: bool,
    /// Contents.
    pub spec: Value,
}

/// An object that cannot be read or, of its kind, cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct UnreadableObject {
    /// Its name, if at least that can be read.
    pub name: Option<String>,
    /// Revision of its last change; zero if that cannot be read.
    pub revision: u64,
    /// What is wrong.
    pub cause: String,
}

impl UnreadableObject {
    /// An object that was read, and whose contents are wrong.
    pub(super) fn of(object: &StoreObject, cause: &crate::Error) -> Self {
        Self {
            name: Some(object.name.clone()),
            revision: object.revision,
            cause: cause.to_string(),
        }
    }
}

/// One change that a watch brought.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreEvent {
    /// An object is new or has changed.
    Changed(StoreObject),
    /// The object of this name is gone.
    Removed(String),
    /// The object that is new or has changed cannot be read.
    Unreadable(UnreadableObject),
}

/// All objects of a kind.
#[derive(Debug, Clone, PartialEq)]
pub struct ObjectList {
    /// The objects that can be read.
    pub items: Vec<StoreObject>,
    /// Those that cannot; one without a name may stand twice.
    pub unreadable: Vec<UnreadableObject>,
    /// Whether it reaches to the end. Behind a page on which no name can be read, or whose last name has
    /// led to a page before, no further one can be asked for.
    pub is_complete: bool,
    /// Revision of the store at which the oldest part of them was read; what came after it is told by
    /// a watch.
    pub revision: u64,
}
