use super::stable_hash;
use serde::{Deserialize, Serialize};

/// Key computed from a name; equal on every host without coordination.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Default,
)]
pub struct NameKey(pub u64);

/// Key of one incarnation of a backend server, or of its id if the server does not report its start time.
pub type ServerKey = NameKey;

/// Key of a backend server's id, shared by all of its incarnations.
pub type IdKey = NameKey;

/// Key of an organisation, a partner or customer whose callers have one fair share together.
pub type OrgKey = NameKey;

/// Key of a version of the software of a service's servers.
pub type VersionKey = NameKey;

/// Key of a part of a prompt. Requests whose prompts share the part have the same key, whatever else they contain.
pub type PartKey = NameKey;

impl NameKey {
    /// Computes the key of `name`.
    pub fn of(name: &str) -> Self {
        Self(stable_hash(name.as_bytes()))
    }
}
