use crate::keys::TimePoint;
use std::time::Duration;

/// Events timed as one group, since a single pause between two events says little about the pace.
const EVENTS_PER_GROUP: u32 = 8;

/// Measures the pace of one run by timing its events in groups.
///
/// The first group is a single event, so that the pace is known soon after the first run has
/// started.
#[derive(Debug, Clone, Copy)]
pub struct PaceTimer {
    group_started_at: TimePoint,
    events: u32,
    group_size: u32,
}

impl PaceTimer {
    /// A timer for a run whose first event has just arrived.
    pub fn new(now: TimePoint) -> Self {
        Self { group_started_at: now, events: 0, group_size: 1 }
    }

    /// Records an event. If it completes a group, returns the number of events in the group and
    /// their total time.
    pub fn record_event(&mut self, now: TimePoint) -> Option<(u32, Duration)> {
        self.events += 1;
        if self.events < self.group_size {
            return None;
        }
        let group = (self.events, now.since(self.group_started_at));
        *self = Self { group_started_at: now, events: 0, group_size: EVENTS_PER_GROUP };
        Some(group)
    }
}
