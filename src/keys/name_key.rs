use super::stable_hash;
use serde::{Deserialize, Serialize};

/// Key made from a name; equal on every host without any agreement.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Default,
)]
pub struct NameKey(pub u64);

/// Key of a backend server; of one life of it, where servers say when they started.
pub type ServerKey = NameKey;

/// Key of a backend server's id, which all of its lives share.
pub type IdKey = NameKey;

/// Key of an organisation (a partner or customer whose callers share a fair share).
pub type OrgKey = NameKey;

impl NameKey {
    /// The key of `name`.
    pub fn of(name: &str) -> Self {
        Self(stable_hash(name.as_bytes()))
    }
}
