use crate::keys::{KeyedHash, keyed_hash};
use hmac::Mac;
use serde::{Deserialize, Serialize};

const DIGEST_BYTES: usize = 16;

/// Domain separation from other hashes made with the hosts' shared key.
const PURPOSE: &[u8] = b"caller-key";

/// Digest of a caller's key, used wherever a key is stored, compared or sent to another host.
///
/// A key is read from a request or the configuration and hashed at once: no state, message, log or
/// metric contains it. With sixteen bytes of a keyed hash, 2^40 keys do not collide in practice.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl std::fmt::Debug for KeyDigest {
    /// Hides the digest, since somebody who knows the shared key could use it to guess the key.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// Computes digests of callers' keys; hosts that share a key compute the same ones.
#[derive(Clone)]
pub struct KeyHasher(KeyedHash);

impl std::fmt::Debug for KeyHasher {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("KeyHasher(..)")
    }
}

impl KeyHasher {
    /// Creates a hasher for hosts that share `shared_key`.
    pub fn new(shared_key: &str) -> Self {
        let mut hash = keyed_hash(shared_key);
        hash.update(PURPOSE);
        Self(hash)
    }

    /// Computes the digest of a caller's key.
    pub fn digest(&self, caller_key: &str) -> KeyDigest {
        let mut hash = self.0.clone();
        hash.update(caller_key.as_bytes());
        let whole = hash.finalize().into_bytes();
        let mut bytes = [0; DIGEST_BYTES];
        bytes.copy_from_slice(&whole[..DIGEST_BYTES]);
        KeyDigest(bytes)
    }
}
