use crate::keys::TimePoint;

/// What the crash quarantine has to know of one run of a request. A request may have two runs at a time, and what one of
/// them has written says nothing about a crash of the other one's server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct RunMarks {
    /// When it was sent.
    pub sent_at: TimePoint,
    /// How many events it has written.
    pub written_events: u64,
}

impl RunMarks {
    /// The marks of a run that is sent at `now`.
    pub const fn sent(now: TimePoint) -> Self {
        Self { sent_at: now, written_events: 0 }
    }
}
