//! Values that several objects of this crate in the store contain.

use crate::Result;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Decodes a hexadecimal key. Keys are not JSON numbers, which hold only 53 bits.
///
/// # Errors
/// If the text is not a hexadecimal number of 64 bits.
pub(super) fn read_key(text: &str) -> Result<u64> {
    u64::from_str_radix(text, 16)
        .map_err(|error| crate::Error::Protocol(format!("invalid key {text:?}: {error}")))
}

/// Unix time in milliseconds.
pub(super) fn unix_millis(time: SystemTime) -> u64 {
    let elapsed = time.duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
