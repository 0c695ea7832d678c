//! Objects of the store, as decoded from its answers.

use serde_json::Value;

/// Size of the largest object that a store holds, including the text around it in an answer.
pub const MAX_OBJECT_BYTES: usize = (1 << 20) + (16 << 10);

/// An object of the store.
#[derive(Debug, Clone, PartialEq)]
pub struct StoreObject {
    /// Name within the object's kind.
    pub name: String,
    /// Revision of the object's last change.
    pub revision: u64,
    /// Whether the object is being removed.
    pub deleting: bool,
    /// The object's contents.
    pub spec: Value,
}

/// An object that cannot be decoded, or whose contents are not valid for its kind.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct UnreadableObject {
    /// The object's name, if it can be decoded.
    pub name: Option<String>,
    /// Revision of the object's last change; zero if it cannot be decoded.
    pub revision: u64,
    /// Why the object is unreadable.
    pub cause: String,
}

impl UnreadableObject {
    /// Describes an object that was decoded, but whose contents are invalid.
    pub(super) fn of(object: &StoreObject, cause: &crate::Error) -> Self {
        Self {
            name: Some(object.name.clone()),
            revision: object.revision,
            cause: cause.to_string(),
        }
    }
}

/// A change reported by a watch.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreEvent {
    /// An object was created or changed.
    Changed(StoreObject),
    /// The object of this name was removed.
    Removed(String),
    /// An object was created or changed, but cannot be decoded.
    Unreadable(UnreadableObject),
}

/// All objects of a kind.
#[derive(Debug, Clone, PartialEq)]
pub struct ObjectList {
    /// The objects that could be decoded.
    pub items: Vec<StoreObject>,
    /// The objects that could not be decoded; an object without a name may be listed twice.
    pub unreadable: Vec<UnreadableObject>,
    /// Whether the listing reaches the last object. It cannot continue after a page without a readable name, or after
    /// one whose last name was already used as the start of a page.
    pub is_complete: bool,
    /// Revision of the store at which the oldest page was read; a watch from this revision reports all later changes.
    pub revision: u64,
    /// Revision of the store at which the newest page was read.
    pub newest_revision: u64,
}
