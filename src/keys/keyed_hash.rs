use hmac::{Hmac, Mac};
use sha2::Sha256;

/// A hash that can be computed only with the shared key.
pub type KeyedHash = Hmac<Sha256>;

/// Creates a keyed hash with a key of any length.
pub fn keyed_hash(key: &str) -> KeyedHash {
    match KeyedHash::new_from_slice(key.as_bytes()) {
        Ok(hash) => hash,
        Err(error) => unreachable!("any key length is valid: {error}"),
    }
}
