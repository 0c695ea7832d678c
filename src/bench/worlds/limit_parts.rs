use super::world_host::WorldHost;
use crate::keys::{IncarnationId, TimePoint};
use crate::limits::{LimitLedger, LimitLoan, LimitMeter, LimitReply, LimitRequest, LoanRequest};
use std::collections::VecDeque;
use std::time::Duration;

/// What a host of the limit world runs.
#[derive(Debug, Default)]
pub(super) struct LimitTools {
    pub meter: LimitMeter,
    pub ledger: LimitLedger,
}

/// One host of the limit world.
pub(super) type LimitHost = WorldHost<LimitTools>;

/// A request that waits for its owner's answer.
#[derive(Debug, Clone, Copy)]
pub(super) struct OpenAsk {
    pub host: usize,
    pub owner: IncarnationId,
    pub ask: LimitRequest,
    pub until: TimePoint,
}

/// What hosts send each other.
#[derive(Debug, Clone, Copy)]
pub(super) enum ParcelBody {
    Ask(LimitRequest),
    Answer(LimitReply),
    LoanRequest(LoanRequest),
    Loan(LimitLoan),
}

/// What was used in a sliding window.
#[derive(Debug)]
pub(super) struct UseWindow {
    length: Duration,
    uses: VecDeque<(TimePoint, u32)>,
}

impl UseWindow {
    /// A window of `length`.
    pub fn new(length: Duration) -> Self {
        Self { length, uses: VecDeque::new() }
    }

    /// Units were used.
    pub fn note(&mut self, now: TimePoint, units: u32) {
        self.uses.push_back((now, units));
    }

    /// Units used in the window that ends now.
    pub fn used(&mut self, now: TimePoint) -> u64 {
        while self.uses.front().is_some_and(|(at, _)| now.since(*at) > self.length) {
            self.uses.pop_front();
        }
        self.uses.iter().map(|(_, units)| u64::from(*units)).sum()
    }
}
