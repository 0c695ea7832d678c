use super::LimitShare;
use crate::keys::TimePoint;
use std::time::Duration;

/// The longest pause that is worth naming to a caller.
const LONGEST_WAIT: Duration = Duration::from_secs(10);

/// Units that may be used at once, which fill up with time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitBucket {
    level: f64,
    filled_at: TimePoint,
}

impl LimitBucket {
    /// A bucket with `level` units.
    pub fn new(now: TimePoint, level: f64) -> Self {
        Self { level, filled_at: now }
    }

    /// Units in it now; below zero if the last request needed more than there was.
    pub fn level(&mut self, now: TimePoint, share: &LimitShare) -> f64 {
        let gained = now.since(self.filled_at).as_secs_f64() * share.rate;
        self.filled_at = self.filled_at.max(now);
        // Units that were borrowed beyond the burst stay until they are used.
        let most = share.burst.max(self.level);
        self.level = (self.level + gained).min(most);
        self.level
    }

    /// Takes `cost` units if there are as many. One that costs more than is ever saved up goes as soon as
    /// the bucket is full, and those after it wait longer.
    pub fn try_take(&mut self, now: TimePoint, share: &LimitShare, cost: f64) -> bool {
        let enough = self.level(now, share) >= cost.min(share.burst);
        if enough {
            self.level -= cost;
        }
        enough
    }

    /// Takes units that were used already, or gives back some that were not (below zero).
    pub fn charge(&mut self, now: TimePoint, share: &LimitShare, units: f64) {
        let most = self.level(now, share).max(share.burst);
        self.level = (self.level - units).min(most);
    }

    /// Adds units that another owner took out of its bucket.
    pub fn add_loan(&mut self, now: TimePoint, share: &LimitShare, units: f64) {
        self.level = self.level(now, share) + units;
    }

    /// Drops what exceeds the burst of a share that has become smaller.
    pub fn clamp(&mut self, now: TimePoint, share: &LimitShare) {
        self.level = self.level(now, share).min(share.burst);
    }

    /// When `cost` units will be there, if nobody takes any before.
    pub fn wait_for(&mut self, now: TimePoint, share: &LimitShare, cost: f64) -> Duration {
        let missing = cost.min(share.burst) - self.level(now, share);
        let seconds = missing.max(0.0) / share.rate.max(f64::MIN_POSITIVE);
        LONGEST_WAIT.min(Duration::try_from_secs_f64(seconds).unwrap_or(LONGEST_WAIT))
    }
}
