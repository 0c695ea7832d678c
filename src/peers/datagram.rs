use super::{decode, encode};
use crate::keys::keyed_hash;
use crate::{Error, Result};
use hmac::Mac;
use serde::Serialize;
use serde::de::DeserializeOwned;

const TAG_BYTES: usize = 16;

/// Encodes a message and signs it with the shared key.
///
/// # Errors
/// If it cannot be encoded.
pub fn seal_datagram<T: Serialize>(key: &str, message: &T) -> Result<Vec<u8>> {
    let mut bytes = encode(message)?;
    let mut hash = keyed_hash(key);
    hash.update(&bytes);
    bytes.extend_from_slice(&hash.finalize().into_bytes()[..TAG_BYTES]);
    Ok(bytes)
}

/// Checks the signature of a datagram before decoding it.
///
/// # Errors
/// [`Error::Unauthenticated`] if the signature is wrong.
pub fn open_datagram<T: DeserializeOwned>(key: &str, bytes: &[u8]) -> Result<T> {
    let split = bytes.len().checked_sub(TAG_BYTES).ok_or(Error::Unauthenticated)?;
    let (body, tag) = bytes.split_at(split);
    let mut hash = keyed_hash(key);
    hash.update(body);
    hash.verify_truncated_left(tag).map_err(|_error| Error::Unauthenticated)?;
    decode(body)
}
