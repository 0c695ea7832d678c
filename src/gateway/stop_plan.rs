use std::time::Duration;

/// The platform asks each second whether callers may come and takes a host out after two misses.
const TWO_MISSES: Duration = Duration::from_millis(2000);
/// Answers and the platform's own decision are on their way for this long.
const MISS_MARGIN: Duration = Duration::from_millis(500);
/// The process ends this long before the platform would end it.
const END_MARGIN: Duration = Duration::from_millis(250);

/// How long each phase of a planned stop lasts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopPlan {
    /// How long requests are still read, while the platform sends callers elsewhere.
    pub drain_time: Duration,
    /// How long after the beginning the process ends, whatever still runs.
    pub exit_after: Duration,
}

impl StopPlan {
    /// The plan for a platform that ends processes after `grace`.
    ///
    /// Requests are read no longer than the platform needs: each later one has less of the grace
    /// left (a hunted day cut a stream that was taken 3.2 s after SIGTERM).
    pub fn new(grace: Duration) -> Self {
        let exit_after = grace.saturating_sub(END_MARGIN);
        Self { drain_time: (TWO_MISSES + MISS_MARGIN).min(exit_after / 2), exit_after }
    }
}
