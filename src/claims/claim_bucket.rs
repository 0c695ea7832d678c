use super::{ClaimKey, ClaimRecord};
use crate::keys::{AttemptId, TimePoint};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Writes of one bucket are at least this far apart: 8 buckets make 40 writes a second at most.
const WRITE_SPACING: Duration = Duration::from_millis(200);
/// A claim is kept this long; callers must not repeat a key later (docs/OPERATIONS.md).
const KEEP_SECONDS: u64 = 600;
/// Claims waiting for the store beyond this are refused at once.
const MOST_WAITING: usize = 2000;

/// Claims in one bucket beyond this are refused: about 48 bytes each as text, under the store's
/// megabyte.
const MOST_RECORDS: usize = 20_000;

/// The contents of a bucket object.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BucketValue {
    /// Claims within the repeat window.
    pub records: Vec<ClaimRecord>,
}

/// A claim that is asked for, or given back by its own attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimRequest {
    /// Claim the key for the record's attempt.
    Take(ClaimRecord),
    /// The attempt never ran: remove its claim.
    #[serde(rename = "GiveBack")]
    Release(ClaimKey, AttemptId),
}

/// What became of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimVerdict {
    /// The claim stands in the store: the attempt, and only it, may run.
    Granted,
    /// The key is claimed by another attempt.
    Taken(ClaimRecord),
    /// The store did not settle it: this attempt must never run.
    Unsettled,
}

/// What the bucket wants from the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BucketCall {
    /// Read the bucket object.
    Read,
    /// Write it if its version is still `expected`.
    Write {
        /// Version that must still stand; zero if the object must not exist.
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
/// Safe however many hosts batch for the same bucket: a claim is granted only after a write that
/// holds it is known to have taken effect, by its answer or by reading it back.
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
    /// Queues a claim; a verdict follows from [`Self::on_read`], [`Self::on_written`] or
    /// [`Self::on_failed`], or at once if too many wait.
    pub fn submit(&mut self, ask: ClaimRequest) -> Option<ClaimVerdict> {
        if self.waiting.len() >= MOST_WAITING || self.is_full(&ask) {
            return Some(ClaimVerdict::Unsettled);
        }
        self.waiting.insert(ask.attempt(), ask);
        None
    }

    fn is_full(&self, ask: &ClaimRequest) -> bool {
        let (ClaimRequest::Take(wanted), Some((_, value))) = (ask, &self.known) else {
            return false;
        };
        let stands = |record: &&ClaimRecord| record.at_seconds + KEEP_SECONDS > wanted.at_seconds;
        value.records.len() >= MOST_RECORDS
            && value.records.iter().filter(stands).count() >= MOST_RECORDS
    }

    /// Gives up on a claim; it may still take effect, so its attempt must never run.
    pub fn cancel(&mut self, attempt: AttemptId) {
        self.waiting.remove(&attempt);
    }

    /// The next store call, if one is due.
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
        value.records.retain(|record| record.at_seconds + KEEP_SECONDS > now_seconds);
        for ask in self.waiting.values() {
            ask.apply(&mut value);
        }
        self.in_write = self.waiting.keys().copied().collect();
        self.phase = BucketPhase::Writing;
        self.last_write = Some(now);
        Some(BucketCall::Write { expected: *version, value })
    }

    /// The object was read; settles what it shows.
    pub fn on_read(&mut self, version: u64, value: BucketValue) -> Vec<(AttemptId, ClaimVerdict)> {
        self.phase = BucketPhase::Idle;
        self.in_write.clear();
        self.known = Some((version, value));
        self.settle()
    }

    /// A conditional write took effect and made `version`.
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
            let Some(ask) = self.waiting.remove(&attempt) else {
                continue;
            };
            settled.push((attempt, self.verdict_of(&ask).unwrap_or(ClaimVerdict::Granted)));
        }
        settled
    }

    /// The version had moved on: read again before anything is decided.
    pub fn on_conflict(&mut self) {
        self.phase = BucketPhase::Idle;
        self.in_write.clear();
        self.known = None;
    }

    /// A call failed or its answer was lost. A lost write may have taken effect, so the bucket is
    /// read back before anything is granted.
    pub fn on_lost(&mut self) {
        self.on_conflict();
    }

    /// The store is away: everything that waits gets its final verdict at once.
    pub fn on_failed(&mut self) -> Vec<(AttemptId, ClaimVerdict)> {
        self.on_conflict();
        let given_up = std::mem::take(&mut self.waiting);
        given_up.into_keys().map(|attempt| (attempt, ClaimVerdict::Unsettled)).collect()
    }

    /// Claims that wait for the store.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    fn settle(&mut self) -> Vec<(AttemptId, ClaimVerdict)> {
        let settled: Vec<(AttemptId, ClaimVerdict)> = self
            .waiting
            .iter()
            .filter_map(|(attempt, ask)| Some((*attempt, self.verdict_of(ask)?)))
            .collect();
        for (attempt, _) in &settled {
            self.waiting.remove(attempt);
        }
        settled
    }

    /// The verdict that the known contents give, or none if they say nothing about `ask`.
    fn verdict_of(&self, ask: &ClaimRequest) -> Option<ClaimVerdict> {
        let (_, value) = self.known.as_ref()?;
        match ask {
            ClaimRequest::Take(wanted) => {
                let standing = value.records.iter().find(|record| record.key == wanted.key)?;
                Some(if standing.attempt == wanted.attempt {
                    ClaimVerdict::Granted
                } else {
                    ClaimVerdict::Taken(*standing)
                })
            }
            ClaimRequest::Release(key, attempt) => {
                let stands = value.records.iter().any(|r| r.key == *key && r.attempt == *attempt);
                (!stands).then_some(ClaimVerdict::Granted)
            }
        }
    }
}

impl ClaimRequest {
    /// The attempt that asks.
    pub const fn attempt(&self) -> AttemptId {
        match self {
            Self::Take(record) => record.attempt,
            Self::Release(_, attempt) => *attempt,
        }
    }

    /// The key that it is about.
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
