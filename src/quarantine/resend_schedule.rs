use crate::keys::TimePoint;
use std::time::Duration;

/// A crash younger than this is sent again at intervals, for hosts that were cut off when it was first sent.
const RESEND_WINDOW: Duration = Duration::from_secs(20);
/// Interval at which such crashes are sent again.
const RESEND_PERIOD: Duration = Duration::from_secs(1);

/// When recent crashes are sent again to other hosts.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ResendSchedule {
    resent_at: TimePoint,
}

impl ResendSchedule {
    /// Whether recent crashes are to be sent again now; if so, they are not due before another interval has passed.
    pub fn take_due(&mut self, now: TimePoint) -> bool {
        let is_due = now.since(self.resent_at) >= RESEND_PERIOD;
        if is_due {
            self.resent_at = now;
        }
        is_due
    }

    /// Whether a crash is recent enough to be sent again.
    pub fn is_recent(now: TimePoint, crashed_at: TimePoint) -> bool {
        now.since(crashed_at) < RESEND_WINDOW
    }
}
