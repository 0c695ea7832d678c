use super::{ClaimKey, ClaimRecord};
use crate::keys::{AttemptId, TimePoint};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Minimum interval between writes of one bucket, which limits 8 buckets to 40 writes a second.
const WRITE_SPACING: Duration = Duration::from_millis(200);
/// Lifetime of a claim; callers must not reuse a key later (see docs/OPERATIONS.md).
const CLAIM_LIFETIME_SECONDS: u64 = 600;
/// Maximum number of claims that wait for the store; further ones are refused immediately.
const MAX_WAITING: usize = 2000;

/// Maximum number of claims in one bucket. At about 48 bytes each as text, they stay below the size
/// limit of the store, one megabyte.
const MAX_RECORDS: usize = 20_000;

/// The contents of a bucket object.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BucketValue {
    /// Claims that have not expired.
    pub records: Vec<ClaimRecord>,
}

/// A request to make or release a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimRequest {
    /// Claim the key for the attempt of the record.
    Take(ClaimRecord),
    /// Remove the claim of an attempt that never ran.
    #[serde(rename = "GiveBack")]
    Release(ClaimKey, AttemptId),
}

/// Result of a claim request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimVerdict {
    /// The claim is stored: this attempt, and no other, may run.
    Granted,
    /// The key is claimed by another attempt.
    Taken(ClaimRecord),
    /// The result is unknown: this attempt must never run.
    Unsettled,
}

/// A call to the store that the bucket needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BucketCall {
    /// Read the bucket object.
    Read,
    /// Write the bucket object if its version is still `expected`.
    Write {
        /// The expected current version; zero if the object must not exist.
        expected: u64,
        /// The new contents.
        value: BucketValue,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BucketPhase {
    Idle,
    Reading,
    Writing,
}

/// Batches the claims of one bucket into conditional writes.
///
/// Any number of hosts can safely write to the same bucket: a claim is granted only after a write
/// that contains it is known to have taken effect, from its answer or by reading the bucket back.
#[derive(Debug)]
pub struct ClaimBucket {
    known: Option<(u64, BucketValue)>,
    waiting: BTreeMap<AttemptId, ClaimRequest>,
    in_write: Vec<AttemptId>,
    phase: BucketPhase,
    last_write: Option<TimePoint>,
}

impl Default for ClaimBucket {
    fn default() -> Self {
        Self {
            known: None,
            waiting: BTreeMap::new(),
            in_write: Vec::new(),
            phase: BucketPhase::Idle,
            last_write: None,
        }
    }
}

impl ClaimBucket {
    /// Queues a request. Its verdict is returned later by [`Self::on_read`], [`Self::on_written`]
    /// or [`Self::on_failed`], or immediately if too many requests are waiting or the bucket is
    /// full.
    pub fn submit(&mut self, request: ClaimRequest) -> Option<ClaimVerdict> {
        if self.waiting.len() >= MAX_WAITING || self.is_full(&request) {
            return Some(ClaimVerdict::Unsettled);
        }
        self.waiting.insert(request.attempt(), request);
        None
    }

    fn is_full(&self, request: &ClaimRequest) -> bool {
        let (ClaimRequest::Take(wanted), Some((_, value))) = (request, &self.known) else {
            return false;
        };
        let is_live =
            |record: &&ClaimRecord| record.at_seconds + CLAIM_LIFETIME_SECONDS > wanted.at_seconds;
        value.records.len() >= MAX_RECORDS
            && value.records.iter().filter(is_live).count() >= MAX_RECORDS
    }

    /// Cancels a request. It may still take effect, so its attempt must never run.
    pub fn cancel(&mut self, attempt: AttemptId) {
        self.waiting.remove(&attempt);
    }

    /// The next call to the store, if one is due.
    pub fn next_call(&mut self, now: TimePoint, now_seconds: u64) -> Option<BucketCall> {
        if self.phase != BucketPhase::Idle || self.waiting.is_empty() {
            return None;
        }
        let Some((version, value)) = &self.known else {
            self.phase = BucketPhase::Reading;
            return Some(BucketCall::Read);
        };
        if self.last_write.is_some_and(|last| now.since(last) < WRITE_SPACING) {
            return None;
        }
        let mut value = value.clone();
        value.records.retain(|record| record.at_seconds + CLAIM_LIFETIME_SECONDS > now_seconds);
        for request in self.waiting.values() {
            request.apply(&mut value);
        }
        self.in_write = self.waiting.keys().copied().collect();
        self.phase = BucketPhase::Writing;
        self.last_write = Some(now);
        Some(BucketCall::Write { expected: *version, value })
    }

    /// Handles the contents of the object after a read; returns the verdicts that they determine.
    pub fn on_read(&mut self, version: u64, value: BucketValue) -> Vec<(AttemptId, ClaimVerdict)> {
        self.phase = BucketPhase::Idle;
        self.in_write.clear();
        self.known = Some((version, value));
        self.settle()
    }

    /// Handles a conditional write that took effect and created `version`.
    pub fn on_written(
        &mut self,
        version: u64,
        value: BucketValue,
    ) -> Vec<(AttemptId, ClaimVerdict)> {
        self.phase = BucketPhase::Idle;
        self.known = Some((version, value));
        let written = std::mem::take(&mut self.in_write);
        let mut settled = self.settle();
        for attempt in written {
            let Some(request) = self.waiting.remove(&attempt) else {
                continue;
            };
            settled.push((attempt, self.verdict_of(&request).unwrap_or(ClaimVerdict::Granted)));
        }
        settled
    }

    /// Handles a version conflict: the object is read again before any verdict.
    pub fn on_conflict(&mut self) {
        self.phase = BucketPhase::Idle;
        self.in_write.clear();
        self.known = None;
    }

    /// Handles a call that failed or whose answer was lost. The write may have taken effect, so the
    /// bucket is read back before anything is granted.
    pub fn on_lost(&mut self) {
        self.on_conflict();
    }

    /// Handles an unavailable store: all waiting requests receive their final verdict immediately.
    pub fn on_failed(&mut self) -> Vec<(AttemptId, ClaimVerdict)> {
        self.on_conflict();
        let abandoned = std::mem::take(&mut self.waiting);
        abandoned.into_keys().map(|attempt| (attempt, ClaimVerdict::Unsettled)).collect()
    }

    /// Number of requests that wait for the store.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    fn settle(&mut self) -> Vec<(AttemptId, ClaimVerdict)> {
        let settled: Vec<(AttemptId, ClaimVerdict)> = self
            .waiting
            .iter()
            .filter_map(|(attempt, request)| Some((*attempt, self.verdict_of(request)?)))
            .collect();
        for (attempt, _) in &settled {
            self.waiting.remove(attempt);
        }
        settled
    }

    /// The verdict on `request` that the known contents determine, if any.
    fn verdict_of(&self, request: &ClaimRequest) -> Option<ClaimVerdict> {
        let (_, value) = self.known.as_ref()?;
        match request {
            ClaimRequest::Take(wanted) => {
                let existing = value.records.iter().find(|record| record.key == wanted.key)?;
                Some(if existing.attempt == wanted.attempt {
                    ClaimVerdict::Granted
                } else {
                    ClaimVerdict::Taken(*existing)
                })
            }
            ClaimRequest::Release(key, attempt) => {
                let is_stored =
                    value.records.iter().any(|r| r.key == *key && r.attempt == *attempt);
                (!is_stored).then_some(ClaimVerdict::Granted)
            }
        }
    }
}

impl ClaimRequest {
    /// The attempt that makes the request.
    pub const fn attempt(&self) -> AttemptId {
        match self {
            Self::Take(record) => record.attempt,
            Self::Release(_, attempt) => *attempt,
        }
    }

    /// The key that the request is about.
    pub const fn key(&self) -> ClaimKey {
        match self {
            Self::Take(record) => record.key,
            Self::Release(key, _) => *key,
        }
    }

    fn apply(&self, value: &mut BucketValue) {
        match self {
            Self::Take(record) => {
                if !value.records.iter().any(|other| other.key == record.key) {
                    value.records.push(*record);
                }
            }
            Self::Release(key, attempt) => {
                value.records.retain(|r| r.key != *key || r.attempt != *attempt);
            }
        }
    }
}
