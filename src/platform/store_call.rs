//! What is asked of the platform's store, within which bounds, and what came of it.

use super::store_object::{StoreEvent, StoreObject};
use std::time::Duration;

/// How new a listing must be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListAge {
    /// As the store is now.
    Newest,
    /// Possibly some seconds old, at a tenth of the price and outside of the store's rates.
    Stale,
}

/// What a watch brought.
#[derive(Debug, Clone, PartialEq)]
pub enum WatchAnswer {
    /// Changes, oldest first, and the revision to go on from.
    Changes(Vec<StoreEvent>, u64),
    /// The store no longer knows what came after the revision asked for: list again.
    HistoryLost,
    /// It knows of more than was worth waiting for.
    TooLong,
}

/// How changes are waited for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WatchLimits {
    /// How long the store waits for one.
    pub wait: Duration,
    /// How much later its answer may begin.
    pub slack: Duration,
    /// Most bytes of changes that are taken.
    pub max_bytes: usize,
}

/// Bounds on one call.
#[derive(Debug, Clone, Copy)]
pub(super) struct CallLimit {
    /// Until the answer begins.
    pub time: Duration,
    /// Most bytes of it.
    pub bytes: usize,
}

impl From<Duration> for CallLimit {
    fn from(time: Duration) -> Self {
        Self { time, bytes: usize::MAX }
    }
}

/// What is known of a conditional write.
#[derive(Debug, Clone, PartialEq)]
pub enum WriteOutcome {
    /// It took effect.
    Written(StoreObject),
    /// The expected revision did not stand; nothing was written.
    Conflict,
    /// The store refused it for certain; nothing was written.
    Refused,
    /// No answer: it may have taken effect, or may yet.
    Unknown,
}
