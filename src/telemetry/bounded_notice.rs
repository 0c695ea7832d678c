use crate::keys::TimePoint;
use std::time::Duration;

/// Shortest time between two lines about the same thing.
const NOTICE_PERIOD: Duration = Duration::from_secs(1);

/// Decides when something that may happen very often is logged: at most once in a period, with how often it happened.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct BoundedNotice {
    logged_at: Option<TimePoint>,
    unlogged: u64,
}

impl BoundedNotice {
    /// Records that it happened `count` times; returns the number to log, if it is time.
    pub fn record(&mut self, now: TimePoint, count: u64) -> Option<u64> {
        self.unlogged += count;
        if self.logged_at.is_some_and(|logged_at| now.since(logged_at) < NOTICE_PERIOD) {
            return None;
        }
        self.logged_at = Some(now);
        Some(std::mem::take(&mut self.unlogged))
    }
}
