use crate::keys::{KeyedHash, keyed_hash};
use hmac::Mac;
use serde::{Deserialize, Serialize};

const DIGEST_BYTES: usize = 16;

/// Separates these digests from whatever else is made with the hosts' shared key.
const PURPOSE: &[u8] = b"caller-key";

/// Stands for a caller's key wherever it is kept, compared or handed to another host.
///
/// A key itself is read from a request or the configuration and hashed at once: no state, message, log
/// or metric holds one. Sixteen bytes of a keyed hash collide for none of 2^40 keys in practice.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl std::fmt::Debug for KeyDigest {
    /// Also a digest is worth guessing at for somebody who knows the shared key.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// Makes digests of callers' keys, the same on all hosts that share a key.
#[derive(Clone)]
pub struct KeyHasher(KeyedHash);

impl std::fmt::Debug for KeyHasher {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("KeyHasher(..)")
    }
}

impl KeyHasher {
    /// A hasher for hosts that share `shared_key`.
    pub fn new(shared_key: &str) -> Self {
        let mut hash = keyed_hash(shared_key);
        hash.update(PURPOSE);
        Self(hash)
    }

    /// The digest of a caller's key.
    pub fn digest(&self, caller_key: &str) -> KeyDigest {
        let mut hash = self.0.clone();
        hash.update(caller_key.as_bytes());
        let whole = hash.finalize().into_bytes();
        let mut bytes = [0; DIGEST_BYTES];
        bytes.copy_from_slice(&whole[..DIGEST_BYTES]);
        KeyDigest(bytes)
    }
}
