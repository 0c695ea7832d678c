use crate::keys::{NameKey, TimePoint};
use std::time::Duration;

/// Least time for which the fastest read counts. A server reads some ten prompts per second, so that within this time
/// some of them did not queue.
const READ_WINDOW: Duration = Duration::from_secs(5);

/// How fast a server reads prompts. Queueing only slows reads, so the fastest recent one counts.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReadSpeed {
    pub service: NameKey,
    /// Of the reads that this host sent, which it tells others. Passing on what others sent would let a speed return to
    /// its sender for ever, after the server has become slower.
    pub own: RecentMaximum,
    /// Of all reads that this host knows of.
    pub known: RecentMaximum,
}

impl ReadSpeed {
    pub fn new(service: NameKey) -> Self {
        Self { service, own: RecentMaximum::default(), known: RecentMaximum::default() }
    }
}

/// Maximum of the values of the last one to two windows; the last known one if there were none.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RecentMaximum {
    current: f64,
    previous: f64,
    /// Start of the current window.
    pub started_at: TimePoint,
}

impl RecentMaximum {
    pub fn record(&mut self, now: TimePoint, value: f64) {
        let age = now.since(self.started_at);
        if age >= READ_WINDOW {
            let is_recent = age < READ_WINDOW * 2;
            self.previous = if is_recent { self.current } else { 0.0 };
            (self.current, self.started_at) = (0.0, now);
        }
        self.current = self.current.max(value);
    }

    pub fn value(&self) -> f64 {
        self.current.max(self.previous)
    }

    /// The maximum, if a value was recorded recently.
    pub fn recent_value(&self, now: TimePoint) -> Option<f64> {
        (now.since(self.started_at) < READ_WINDOW * 2 && self.value() > 0.0).then(|| self.value())
    }
}
