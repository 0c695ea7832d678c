use serde::{Deserialize, Serialize};
use std::time::{SystemTime, UNIX_EPOCH};

/// Id of one run of a daemon process; a restart is another incarnation.
///
/// The upper 42 bits are the start time in milliseconds, so a later incarnation compares greater.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Default,
)]
pub struct IncarnationId(pub u64);

impl IncarnationId {
    /// Creates the id of a process that starts at `start`; `salt` distinguishes equal start times.
    pub fn at_start(start: SystemTime, salt: u64) -> Self {
        let since = start.duration_since(UNIX_EPOCH).unwrap_or_default();
        let millis = u64::try_from(since.as_millis()).unwrap_or(u64::MAX);
        Self((millis << 22) | (salt & 0x3f_ffff))
    }
}

impl std::fmt::Display for IncarnationId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
