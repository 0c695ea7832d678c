use std::ops::{Add, Sub};
use std::time::Duration;

/// A point in time on a [`super::HostClock`] of this process, in microseconds since the clock started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct TimePoint(pub u64);

impl TimePoint {
    /// The point in time `millis` milliseconds after the start of the clock.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1000)
    }

    /// Time since `earlier`, or zero if that is in the future.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Microseconds since `earlier`, negative if that is in the future.
    pub fn signed_micros_since(self, earlier: Self) -> i64 {
        self.0 as i64 - earlier.0 as i64
    }
}

impl Add<Duration> for TimePoint {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        Self(self.0.saturating_add(u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX)))
    }
}

impl Sub<Duration> for TimePoint {
    type Output = Self;

    fn sub(self, rhs: Duration) -> Self {
        Self(self.0.saturating_sub(u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX)))
    }
}
