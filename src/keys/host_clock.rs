use super::TimePoint;
use nix::time::{ClockId, clock_gettime};
use std::time::Duration;

/// The clock by which a host measures ages: it keeps running while the machine is suspended, and is never set.
///
/// The monotonic clock of the standard library stops during a suspension, so everything recent before it would seem recent
/// after it: revoked keys, leases that other hosts took over, and outdated views and servers.
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
    /// Starts a clock at the present time.
    pub fn start() -> Self {
        Self { start: since_boot() }
    }

    /// The present time on this clock.
    pub fn now(&self) -> TimePoint {
        TimePoint::CLOCK_START + since_boot().saturating_sub(self.start)
    }
}

/// Time since the machine booted.
///
/// # Panics
/// If the system has no such clock; Linux has it since 2.6.39.
fn since_boot() -> Duration {
    match clock_gettime(ClockId::CLOCK_BOOTTIME) {
        Ok(time) => Duration::from(time),
        Err(error) => panic!("cannot read the boot-time clock: {error}"),
    }
}
