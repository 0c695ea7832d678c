use crate::keys::TimePoint;
use std::time::Duration;

/// Orders are given within this time after the write that allows them.
const VALIDITY: Duration = Duration::from_millis(1000);
/// Covers timers that fire late.
const MARGIN: Duration = Duration::from_millis(500);

/// What the store says of who gives orders.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseRecord {
    /// Host that wrote it last.
    pub holder: String,
    /// Rises with each write; engines refuse orders under a lower one than they have seen.
    pub fence: u64,
}

/// This host's right to give orders.
///
/// Each round of orders needs a conditional write of the next fence. A host that takes over from
/// another one waits until that one's last write allows nothing more and the lease has passed; it
/// then writes again and may order at once.
#[derive(Debug, Clone, Default)]
pub struct OrderLease {
    /// The fence of the last write, and when it was written.
    written: Option<(u64, TimePoint)>,
    /// Until when a takeover waits.
    waits_until: Option<TimePoint>,
}

impl OrderLease {
    /// Whether a takeover still waits.
    pub fn is_waiting(&self, now: TimePoint) -> bool {
        self.waits_until.is_some_and(|until| now < until)
    }

    /// The record to write over `held`.
    pub fn next_record(held: Option<&LeaseRecord>, host: &str) -> LeaseRecord {
        let fence = held.map_or(0, |record| record.fence) + 1;
        LeaseRecord { holder: host.to_owned(), fence }
    }

    /// The write of `record` over `held` took effect; it was sent at `sent_at`.
    pub fn record_write(
        &mut self,
        sent_at: TimePoint,
        now: TimePoint,
        held: Option<&LeaseRecord>,
        record: &LeaseRecord,
        lease: Duration,
    ) {
        let taken_over = held.is_some_and(|before| before.holder != record.holder);
        if taken_over {
            self.written = None;
            self.waits_until = Some(now + VALIDITY + lease + MARGIN);
        } else if !self.is_waiting(now) {
            self.waits_until = None;
            self.written = Some((record.fence, sent_at));
        }
    }

    /// The fence under which an order may be given now.
    pub fn fence(&self, now: TimePoint) -> Option<u64> {
        let (fence, at) = self.written?;
        (now.since(at) < VALIDITY).then_some(fence)
    }
}
