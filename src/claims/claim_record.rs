use crate::keys::{AttemptId, mix_hash, stable_hash};
use serde::{Deserialize, Serialize};

/// Number of bucket objects in the platform's store; docs/DESIGN.md has the calculation.
pub const CLAIM_BUCKETS: u64 = 8;

/// Hash of organisation and idempotency key, so that equal keys of different organisations are
/// different claims.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimKey(pub u64, pub u64);

impl ClaimKey {
    /// The claim key for the idempotency key `key` sent by a caller of `organisation`.
    pub fn of(organisation: &str, key: &str) -> Self {
        let org = stable_hash(organisation.as_bytes());
        let key = stable_hash(key.as_bytes());
        Self(mix_hash(org, key), mix_hash(key.rotate_left(17), org.rotate_left(29)))
    }

    /// The bucket that contains the claim.
    pub const fn bucket(self) -> u64 {
        self.0 % CLAIM_BUCKETS
    }
}

/// One claim as stored in its bucket object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// The claimed key.
    pub key: ClaimKey,
    /// The only attempt that may run the request.
    pub attempt: AttemptId,
    /// Hash of the request body, which distinguishes a retry from a reuse of the key.
    pub body: u64,
    /// Time of the claim in Unix seconds (since 1970), by the clock of the writer.
    pub at_seconds: u64,
}
