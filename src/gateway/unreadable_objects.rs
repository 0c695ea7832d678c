use crate::platform::UnreadableObject;
use std::collections::HashSet;

/// Objects remembered so that each is logged once. At some 150 bytes each 150 KB (reckoned); beyond it,
/// all are forgotten, and each may be logged once more.
const OBJECTS_KEPT: usize = 1024;

/// The unreadable objects that were logged: each listing names them again.
///
/// A change has another revision and is new. Of objects without name and revision, those with different
/// causes are told apart.
#[derive(Debug, Clone, Default)]
pub struct UnreadableObjects {
    noted: HashSet<UnreadableObject>,
}

impl UnreadableObjects {
    /// Notes an object; true if it was not noted before.
    pub fn insert(&mut self, object: &UnreadableObject) -> bool {
        if self.noted.contains(object) {
            return false;
        }
        if self.noted.len() >= OBJECTS_KEPT {
            self.noted.clear();
        }
        self.noted.insert(object.clone())
    }
}
