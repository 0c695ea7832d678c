//! The hosts and the store's calls of the claim world.

use crate::claims::{BucketCall, BucketValue, ClaimBucket, ClaimKey, OutcomeTable};
use crate::keys::{AttemptId, IncarnationId, TimePoint};
use std::collections::BTreeMap;

/// One host with its machines.
#[derive(Debug)]
pub(super) struct ClaimHost {
    pub incarnation: IncarnationId,
    pub serial: u64,
    pub bucket: ClaimBucket,
    pub outcomes: OutcomeTable,
    pub paused_until: TimePoint,
    pub has_pending_call: bool,
    /// Attempts that wait for a verdict, with their key.
    pub waiting: BTreeMap<AttemptId, ClaimKey>,
    /// Attempts that were granted and run now, with when they end.
    pub running: Vec<(AttemptId, ClaimKey, TimePoint, bool)>,
}

impl ClaimHost {
    /// A host's next life.
    pub fn new(incarnation: u64) -> Self {
        Self {
            incarnation: IncarnationId(incarnation),
            serial: 0,
            bucket: ClaimBucket::default(),
            outcomes: OutcomeTable::default(),
            paused_until: TimePoint::default(),
            has_pending_call: false,
            waiting: BTreeMap::new(),
            running: Vec::new(),
        }
    }
}

/// A store call on its way.
#[derive(Debug)]
pub(super) struct StoreCall {
    pub host: usize,
    pub incarnation: IncarnationId,
    pub operation: BucketCall,
    pub arrives_at: TimePoint,
    pub answers: TimePoint,
    pub has_arrived: bool,
    pub answer: Option<StoreAnswer>,
    pub is_lost: bool,
}

/// What the store did.
#[derive(Debug, Clone)]
pub(super) enum StoreAnswer {
    Read(u64, BucketValue),
    Written(u64, BucketValue),
    Conflict,
    Refused,
}
