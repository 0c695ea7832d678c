use crate::keys::TimePoint;
use std::time::Duration;

/// How long after it learns of a crash a host knows all requests that were in flight. Other hosts find out within 0.3 s
/// that a server which broke off connections has crashed, and their updates reach all of 300 hosts within half a second
/// more.
pub const SETTLE_TIME: Duration = Duration::from_millis(800);

/// Until when this host has received the updates of other hosts. It does not advance while the host is suspended.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ReceiptClock {
    received_until: TimePoint,
}

impl ReceiptClock {
    /// How much longer updates may arrive about something that this host learned of at `learned_at`.
    pub fn settle_wait(&self, learned_at: TimePoint) -> Duration {
        SETTLE_TIME.saturating_sub(self.received_until.since(learned_at))
    }

    /// Records that this host has received all updates until `now`. A gap of at least [`SETTLE_TIME`] means that the host
    /// was suspended and still has to read the updates of that time: what was not settled at the time that is returned
    /// waits for the whole settle time again.
    pub fn advance(&mut self, now: TimePoint) -> Option<TimePoint> {
        let last = std::mem::replace(&mut self.received_until, now);
        (now.since(last) >= SETTLE_TIME).then_some(last)
    }
}
