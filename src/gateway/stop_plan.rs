use std::time::Duration;

/// The platform probes readiness every second and stops routing callers to a host after two failed probes.
const TWO_PROBES: Duration = Duration::from_millis(2000);
/// Time for probe answers and the platform's routing change to take effect.
const PROBE_MARGIN: Duration = Duration::from_millis(500);
/// The process exits this long before the platform would kill it.
const EXIT_MARGIN: Duration = Duration::from_millis(250);

/// Durations of the phases of a graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopPlan {
    /// How long requests are still read, until the platform routes callers to other hosts.
    pub drain_time: Duration,
    /// Time from the start of the shutdown until the process exits, even if requests are still in flight.
    pub exit_after: Duration,
}

impl StopPlan {
    /// Creates the plan for a platform that kills processes after `grace`.
    ///
    /// Requests are read no longer than the platform needs to change its routing: the later a request is read, the less of
    /// the grace period remains for it.
    pub fn new(grace: Duration) -> Self {
        let exit_after = grace.saturating_sub(EXIT_MARGIN);
        Self { drain_time: (TWO_PROBES + PROBE_MARGIN).min(exit_after / 2), exit_after }
    }

    /// Whether a stream that is read `since_stop` after the start of the shutdown, and is expected to last for `expected`,
    /// ends before the process exits.
    pub fn has_time_for(&self, since_stop: Duration, expected: Duration) -> bool {
        since_stop + expected <= self.exit_after
    }
}
