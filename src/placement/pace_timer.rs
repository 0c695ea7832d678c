use crate::keys::TimePoint;
use std::time::Duration;

/// Events timed together: a pause between two of them says little.
const GROUP_EVENTS: u32 = 8;

/// Times the events of one run in groups. The first group is a single event, so that the pace is
/// known soon after the first run has begun.
#[derive(Debug, Clone, Copy)]
pub struct PaceTimer {
    group_began: TimePoint,
    events: u32,
    group_events: u32,
}

impl PaceTimer {
    /// A run whose first event has just come.
    pub fn new(now: TimePoint) -> Self {
        Self { group_began: now, events: 0, group_events: 1 }
    }

    /// One more event came; if that fills a group, its events and how long they took.
    pub fn record_event(&mut self, now: TimePoint) -> Option<(u32, Duration)> {
        self.events += 1;
        if self.events < self.group_events {
            return None;
        }
        let group = (self.events, now.since(self.group_began));
        *self = Self { group_began: now, events: 0, group_events: GROUP_EVENTS };
        Some(group)
    }
}
