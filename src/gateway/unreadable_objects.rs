use crate::platform::UnreadableObject;
use std::collections::HashSet;

/// Most objects remembered, so that each is logged once. At about 150 bytes each they take 150 KB. When the
/// limit is reached, all are dropped, and each may be logged once more.
const MAX_OBJECTS: usize = 1024;

/// The unreadable objects that were already logged, because each listing returns them again.
///
/// A changed object has another revision and counts as new. Objects without a name and revision are
/// distinguished by their cause.
#[derive(Debug, Clone, Default)]
pub struct UnreadableObjects {
    logged: HashSet<UnreadableObject>,
}

impl UnreadableObjects {
    /// Inserts an object; returns whether it is new.
    pub fn insert(&mut self, object: &UnreadableObject) -> bool {
        if self.logged.contains(object) {
            return false;
        }
        if self.logged.len() >= MAX_OBJECTS {
            self.logged.clear();
        }
        self.logged.insert(object.clone())
    }
}
