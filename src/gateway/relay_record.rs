use crate::keys::TimePoint;
use std::time::Duration;

/// The events relayed so far.
#[derive(Debug, Default)]
pub(super) struct RelayRecord {
    pub events: u64,
    pub last: Option<u64>,
    pub first_after: Option<Duration>,
    /// When the last event was relayed.
    pub relayed_at: Option<TimePoint>,
    /// The longest pause between two events.
    pub longest_pause: Duration,
}

impl RelayRecord {
    /// Records an event that is relayed at `now`.
    pub fn record_event(&mut self, now: TimePoint, age: Duration) {
        self.events += 1;
        self.first_after.get_or_insert(age);
        if let Some(last) = self.relayed_at.replace(now) {
            self.longest_pause = self.longest_pause.max(now.since(last));
        }
    }
}
