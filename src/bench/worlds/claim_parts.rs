//! The hosts and the store calls of the claim world.

use crate::claims::{BucketCall, BucketValue, ClaimBucket, ClaimKey, OutcomeTable};
use crate::keys::{AttemptId, IncarnationId, TimePoint};
use std::collections::BTreeMap;

/// One simulated host and its state machines.
#[derive(Debug)]
pub(super) struct ClaimHost {
    pub incarnation: IncarnationId,
    pub serial: u64,
    pub bucket: ClaimBucket,
    pub outcomes: OutcomeTable,
    pub paused_until: TimePoint,
    pub has_pending_call: bool,
    /// Attempts that wait for a verdict, with their keys.
    pub waiting: BTreeMap<AttemptId, ClaimKey>,
    /// Granted attempts that are running: the attempt, its key, when it ends, and whether it reached the server.
    pub running: Vec<(AttemptId, ClaimKey, TimePoint, bool)>,
}

impl ClaimHost {
    /// Creates a host without any state.
    pub fn new(incarnation: u64) -> Self {
        Self {
            incarnation: IncarnationId(incarnation),
            serial: 0,
            bucket: ClaimBucket::default(),
            outcomes: OutcomeTable::default(),
            paused_until: TimePoint::CLOCK_START,
            has_pending_call: false,
            waiting: BTreeMap::new(),
            running: Vec::new(),
        }
    }
}

/// A store call in flight.
#[derive(Debug)]
pub(super) struct StoreCall {
    pub host: usize,
    pub incarnation: IncarnationId,
    pub operation: BucketCall,
    pub arrives_at: TimePoint,
    pub answers_at: TimePoint,
    pub has_arrived: bool,
    pub answer: Option<StoreAnswer>,
    pub is_lost: bool,
}

/// Result of a store call.
#[derive(Debug, Clone)]
pub(super) enum StoreAnswer {
    Read(u64, BucketValue),
    Written(u64, BucketValue),
    Conflict,
    Refused,
}
