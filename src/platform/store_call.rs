//! Options, limits and results of calls to the platform's store.

use super::store_object::{StoreEvent, StoreObject};
use std::time::Duration;

/// How fresh a listing must be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListAge {
    /// The current state of the store.
    Newest,
    /// A state that may be some seconds old; it costs a tenth and does not count against the store's rate limit.
    Stale,
}

/// Result of a watch.
#[derive(Debug, Clone, PartialEq)]
pub enum WatchAnswer {
    /// Changes, oldest first, and the revision from which the next watch continues.
    Changes(Vec<StoreEvent>, u64),
    /// The store no longer has the changes after the requested revision: list the objects again.
    HistoryLost,
    /// The changes exceed the size limit of the watch.
    TooLong,
}

/// Limits of a watch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WatchLimits {
    /// How long the store waits for a change.
    pub wait: Duration,
    /// How much later than `wait` the answer may begin.
    pub slack: Duration,
    /// Maximum size of the answer in bytes.
    pub max_bytes: usize,
}

/// Limits of one call.
#[derive(Debug, Clone, Copy)]
pub(super) struct CallLimit {
    /// How long to wait for the answer to begin.
    pub time: Duration,
    /// Maximum size of the answer in bytes.
    pub bytes: usize,
}

/// Longest answer of the store: a page of a listing has 1 MB at most, and an object is no larger.
const MAX_STORE_ANSWER_BYTES: usize = 4 << 20;

impl From<Duration> for CallLimit {
    fn from(time: Duration) -> Self {
        Self { time, bytes: MAX_STORE_ANSWER_BYTES }
    }
}

/// Outcome of a conditional write.
#[derive(Debug, Clone, PartialEq)]
pub enum WriteOutcome {
    /// The write took effect.
    Written(StoreObject),
    /// The object is not at the expected revision; nothing was written.
    Conflict,
    /// The store refused the write or did not receive it; nothing was written.
    Refused,
    /// No usable answer arrived: the write may have taken effect, or may still do so.
    Unknown,
}
