use super::TimePoint;
use nix::time::{ClockId, clock_gettime};
use std::time::Duration;

/// The clock by which a host tells ages: it goes on while the machine is suspended, and is never set.
///
/// The steady clock of the standard library stands still then, and whatever was young before would be so after: keys
/// that were revoked meanwhile, leases that others took over, views and servers that are long gone.
#[derive(Debug, Clone, Copy)]
pub struct HostClock {
    start: Duration,
}

impl Default for HostClock {
    fn default() -> Self {
        Self::start()
    }
}

impl HostClock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self { start: since_boot() }
    }

    /// The present time on this clock.
    pub fn now(&self) -> TimePoint {
        TimePoint::default() + since_boot().saturating_sub(self.start)
    }
}

/// Time since the machine was started.
///
/// # Panics
/// If the system has no such clock; Linux has it since 2.6.39.
fn since_boot() -> Duration {
    match clock_gettime(ClockId::CLOCK_BOOTTIME) {
        Ok(time) => Duration::from(time),
        Err(error) => panic!("the clock since boot cannot be read: {error}"),
    }
}
