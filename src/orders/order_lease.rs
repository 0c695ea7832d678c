use crate::keys::TimePoint;
use std::time::Duration;

/// Time after a write of the lease record during which orders may be issued.
const WRITE_VALIDITY: Duration = Duration::from_millis(1000);
/// Safety margin for timers that fire late.
const TIMER_MARGIN: Duration = Duration::from_millis(500);

/// The record in the store that names the host that issues orders.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseRecord {
    /// The host that wrote the record last.
    pub holder: String,
    /// Fencing token, incremented with each write. Engines refuse orders with a lower fence than
    /// the highest that they have seen.
    pub fence: u64,
}

/// This host's lease on issuing orders.
///
/// Each round of orders requires a conditional write of the next fence. A host that takes over from
/// another one waits until the last write of the other has expired and the lease has passed. It
/// then writes again and may issue orders immediately.
#[derive(Debug, Clone, Default)]
pub struct OrderLease {
    /// The fence of the last write, and when the write was sent.
    last_write: Option<(u64, TimePoint)>,
    /// End of the waiting time after a takeover.
    takeover_until: Option<TimePoint>,
}

impl OrderLease {
    /// Whether the waiting time after a takeover has not ended yet.
    pub fn is_waiting(&self, now: TimePoint) -> bool {
        self.takeover_until.is_some_and(|until| now < until)
    }

    /// The record that replaces `held`.
    pub fn next_record(held: Option<&LeaseRecord>, host: &str) -> LeaseRecord {
        let fence = held.map_or(0, |record| record.fence) + 1;
        LeaseRecord { holder: host.to_owned(), fence }
    }

    /// Records that the write of `record` over `held`, sent at `sent_at`, took effect.
    pub fn record_write(
        &mut self,
        sent_at: TimePoint,
        now: TimePoint,
        held: Option<&LeaseRecord>,
        record: &LeaseRecord,
        lease: Duration,
    ) {
        let is_takeover = held.is_some_and(|previous| previous.holder != record.holder);
        if is_takeover {
            self.last_write = None;
            self.takeover_until = Some(now + WRITE_VALIDITY + lease + TIMER_MARGIN);
        } else if !self.is_waiting(now) {
            self.takeover_until = None;
            self.last_write = Some((record.fence, sent_at));
        }
    }

    /// The fence for an order issued now, or `None` if no order may be issued.
    pub fn fence(&self, now: TimePoint) -> Option<u64> {
        let (fence, at) = self.last_write?;
        (now.since(at) < WRITE_VALIDITY).then_some(fence)
    }
}
