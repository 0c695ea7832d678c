use std::ops::{Add, Sub};
use std::time::Duration;

/// A point in time on a [`super::HostClock`] of this process, in microseconds since the clock started.
///
/// It is negative before the start. What another host or the store states may be older than this process, and a time that
/// stopped at the start would make it look as new as the process. The default is the start of the clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct TimePoint(pub i64);

impl TimePoint {
    /// The start of the clock.
    pub const CLOCK_START: Self = Self(0);

    /// The point in time `millis` milliseconds after the start of the clock.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis as i64 * 1000)
    }

    /// Time since `earlier`, or zero if that is in the future.
    pub fn since(self, earlier: Self) -> Duration {
        let micros = self.0.saturating_sub(earlier.0);
        Duration::from_micros(u64::try_from(micros).unwrap_or_default())
    }

    /// Microseconds since `earlier`, negative if that is in the future.
    pub fn signed_micros_since(self, earlier: Self) -> i64 {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<Duration> for TimePoint {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        Self(self.0.saturating_add(whole_micros(rhs)))
    }
}

impl Sub<Duration> for TimePoint {
    type Output = Self;

    fn sub(self, rhs: Duration) -> Self {
        Self(self.0.saturating_sub(whole_micros(rhs)))
    }
}

fn whole_micros(duration: Duration) -> i64 {
    i64::try_from(duration.as_micros()).unwrap_or(i64::MAX)
}
