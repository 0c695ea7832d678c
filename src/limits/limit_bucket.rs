use super::LimitShare;
use crate::keys::TimePoint;
use std::time::Duration;

/// Longest wait that is reported to a caller.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// A token bucket for the units of a limit. Its rate and burst are those of the [`LimitShare`] passed to each call.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitBucket {
    level: f64,
    filled_at: TimePoint,
}

impl LimitBucket {
    /// Creates a bucket that contains `level` units.
    pub fn new(now: TimePoint, level: f64) -> Self {
        Self { level, filled_at: now }
    }

    /// Refills the bucket and returns its level, which is negative if a request took more than it contained.
    pub fn level(&mut self, now: TimePoint, share: &LimitShare) -> f64 {
        let gained = now.since(self.filled_at).as_secs_f64() * share.rate;
        self.filled_at = self.filled_at.max(now);
        // Borrowed units beyond the burst remain until they are used.
        let max_level = share.burst.max(self.level);
        self.level = (self.level + gained).min(max_level);
        self.level
    }

    /// Takes `cost` units if the bucket contains enough. A request that costs more than the burst is granted as soon as
    /// the bucket is full, and later requests wait longer.
    pub fn try_take(&mut self, now: TimePoint, share: &LimitShare, cost: f64) -> bool {
        let is_granted = self.level(now, share) >= cost.min(share.burst);
        if is_granted {
            self.level -= cost;
        }
        is_granted
    }

    /// Takes units that were already used, or returns unused ones if `units` is negative.
    pub fn charge(&mut self, now: TimePoint, share: &LimitShare, units: f64) {
        let max_level = self.level(now, share).max(share.burst);
        self.level = (self.level - units).min(max_level);
    }

    /// Adds units that another owner took out of its own bucket.
    pub fn add_loan(&mut self, now: TimePoint, share: &LimitShare, units: f64) {
        self.level = self.level(now, share) + units;
    }

    /// Drops units beyond the burst, after the share has become smaller.
    pub fn clamp(&mut self, now: TimePoint, share: &LimitShare) {
        self.level = self.level(now, share).min(share.burst);
    }

    /// How long until `cost` units are available if none are taken in the meantime.
    pub fn wait_for(&mut self, now: TimePoint, share: &LimitShare, cost: f64) -> Duration {
        let missing = cost.min(share.burst) - self.level(now, share);
        let seconds = missing.max(0.0) / share.rate.max(f64::MIN_POSITIVE);
        MAX_WAIT.min(Duration::try_from_secs_f64(seconds).unwrap_or(MAX_WAIT))
    }
}
