use super::world_host::WorldHost;
use crate::keys::{IncarnationId, TimePoint};
use crate::limits::{LimitLedger, LimitLoan, LimitMeter, LimitReply, LimitRequest, LoanRequest};
use std::collections::VecDeque;
use std::time::Duration;

/// The state machines that a host of the limit world runs.
#[derive(Debug, Default)]
pub(super) struct LimitState {
    pub meter: LimitMeter,
    pub ledger: LimitLedger,
}

/// One host of the limit world.
pub(super) type LimitHost = WorldHost<LimitState>;

/// A request that waits for the owner's reply.
#[derive(Debug, Clone, Copy)]
pub(super) struct PendingRequest {
    pub host: usize,
    pub owner: IncarnationId,
    pub request: LimitRequest,
    pub expires_at: TimePoint,
}

/// A message between hosts.
#[derive(Debug, Clone, Copy)]
pub(super) enum LimitMessage {
    Request(LimitRequest),
    Reply(LimitReply),
    LoanRequest(LoanRequest),
    Loan(LimitLoan),
}

/// Units used in a sliding window.
#[derive(Debug)]
pub(super) struct UsageWindow {
    length: Duration,
    entries: VecDeque<(TimePoint, u32)>,
}

impl UsageWindow {
    /// Creates an empty window of `length`.
    pub fn new(length: Duration) -> Self {
        Self { length, entries: VecDeque::new() }
    }

    /// Records that units were used.
    pub fn record(&mut self, now: TimePoint, units: u32) {
        self.entries.push_back((now, units));
    }

    /// Units used in the window that ends at `now`.
    pub fn used(&mut self, now: TimePoint) -> u64 {
        while self.entries.front().is_some_and(|(at, _)| now.since(*at) > self.length) {
            self.entries.pop_front();
        }
        self.entries.iter().map(|(_, units)| u64::from(*units)).sum()
    }
}
