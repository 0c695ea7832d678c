use crate::keys::{IncarnationId, TimePoint};
use std::ops::RangeInclusive;
use std::time::Duration;

/// Time after a write of the lease record during which orders may be issued.
const WRITE_VALIDITY: Duration = Duration::from_millis(1000);
/// Safety margin for timers that fire late.
const TIMER_MARGIN: Duration = Duration::from_millis(500);

/// The process that may issue orders. Two processes of one host may run at a time: one stood still while the other was
/// started in its place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseHolder {
    /// Name of the host.
    pub host: String,
    /// The process; `None` in a record of a version that did not state it.
    pub process: Option<IncarnationId>,
}

/// The record in the store that names the process that issues orders.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseRecord {
    /// The process that wrote the record last.
    pub holder: LeaseHolder,
    /// Fencing token, incremented with each write. Engines refuse orders with a lower fence than
    /// the highest that they have seen.
    pub fence: u64,
}

/// This process's lease on issuing orders.
///
/// Each round of orders requires a conditional write of the next fence. A host that takes over from
/// another one waits until the last write of the other has expired and the lease has passed. It
/// then writes again and may issue orders immediately.
///
/// A record with this process as its holder does not prove that it has held the lease: a takeover without an answer may have
/// written it a moment ago. Only a record that continues the process's own writes is renewed without a wait.
#[derive(Debug, Clone)]
pub struct OrderLease {
    /// Fences of the records that continue this process's own writes: from the last one known to be in place to the last
    /// renewal without an answer. Zero stands for a store without a record. `None` if the lease has to be taken over.
    own_fences: Option<RangeInclusive<u64>>,
    /// The fence of the last write, and when the write was sent.
    last_write: Option<(u64, TimePoint)>,
    /// End of the waiting time after a takeover.
    takeover_until: Option<TimePoint>,
    /// Whether a takeover was written without an answer, and the record has not been read since.
    is_unsettled: bool,
}

impl Default for OrderLease {
    fn default() -> Self {
        Self {
            own_fences: Some(0..=0),
            last_write: None,
            takeover_until: None,
            is_unsettled: false,
        }
    }
}

impl OrderLease {
    /// Whether the waiting time after a takeover has not ended yet.
    pub fn is_waiting(&self, now: TimePoint) -> bool {
        self.takeover_until.is_some_and(|until| now < until)
    }

    /// Whether it is unknown if this host has taken the lease over. The waiting time begins once the record has been read.
    pub fn is_unsettled(&self) -> bool {
        self.is_unsettled
    }

    /// The record that replaces `held`.
    pub fn next_record(held: Option<&LeaseRecord>, own: &LeaseHolder) -> LeaseRecord {
        let fence = fence_of(held) + 1;
        LeaseRecord { holder: own.clone(), fence }
    }

    /// Records that the store held `held` at some time before `now`. If it names `own` without continuing its own
    /// writes, the lease has been taken over: all writes of the former holder were done before.
    pub fn record_read(
        &mut self,
        now: TimePoint,
        held: Option<&LeaseRecord>,
        own: &LeaseHolder,
        lease: Duration,
    ) {
        self.is_unsettled = false;
        if self.continues(held, own) {
            return;
        }
        match held.filter(|record| record.holder == *own) {
            Some(record) => self.start_takeover(now, record.fence, lease),
            None => self.forget(),
        }
    }

    /// Records that the store held a record that cannot be read. Another process wrote it, and may hold the lease.
    pub fn record_unreadable(&mut self) {
        self.is_unsettled = false;
        self.forget();
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
        self.is_unsettled = false;
        if !self.continues(held, &record.holder) {
            self.start_takeover(now, record.fence, lease);
            return;
        }
        self.own_fences = Some(record.fence..=record.fence);
        if !self.is_waiting(now) {
            self.takeover_until = None;
            self.last_write = Some((record.fence, sent_at));
        }
    }

    /// Records that the write of `record` over `held` may have taken effect, or may do so later.
    ///
    /// A renewal changes nothing else: the write is conditional, so that the next record is either this one, or one that
    /// names another host.
    pub fn record_unknown(&mut self, held: Option<&LeaseRecord>, record: &LeaseRecord) {
        if self.continues(held, &record.holder) {
            self.own_fences = Some(fence_of(held)..=record.fence);
        } else {
            self.forget();
            self.is_unsettled = true;
        }
    }

    /// The fence for an order issued now, or `None` if no order may be issued.
    pub fn fence(&self, now: TimePoint) -> Option<u64> {
        let (fence, at) = self.last_write?;
        (now.since(at) < WRITE_VALIDITY).then_some(fence)
    }

    /// Whether `held` continues the writes of this process, so that no other one has held the lease since the first of
    /// them.
    fn continues(&self, held: Option<&LeaseRecord>, own: &LeaseHolder) -> bool {
        let is_own = held.is_none_or(|record| record.holder == *own);
        is_own && self.own_fences.as_ref().is_some_and(|own| own.contains(&fence_of(held)))
    }

    fn start_takeover(&mut self, now: TimePoint, fence: u64, lease: Duration) {
        self.own_fences = Some(fence..=fence);
        self.last_write = None;
        self.takeover_until = Some(now + WRITE_VALIDITY + lease + TIMER_MARGIN);
    }

    fn forget(&mut self) {
        self.own_fences = None;
        self.last_write = None;
    }
}

fn fence_of(held: Option<&LeaseRecord>) -> u64 {
    held.map_or(0, |record| record.fence)
}
