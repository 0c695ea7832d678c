use super::ClaimKey;
use crate::keys::{AttemptId, TimePoint};
use bytes::Bytes;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

const ENTRY_LIFETIME: Duration = Duration::from_secs(660);
/// Maximum number of remembered attempts that were abandoned before they ran. Beyond it, the
/// outcome of the oldest ones is unknown.
const MAX_ABANDONED: usize = 10_000;

/// An answer that is stored until it is delivered to one connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status of the service's answer.
    pub status: u16,
    /// The body of the answer. It counts against the budget of all answers as long as it is stored.
    #[serde(serialize_with = "write_body", deserialize_with = "read_body")]
    pub body: Bytes,
}

fn write_body<S: Serializer>(body: &Bytes, serializer: S) -> Result<S::Ok, S::Error> {
    body.as_ref().serialize(serializer)
}

fn read_body<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Bytes, D::Error> {
    Vec::deserialize(deserializer).map(Bytes::from)
}

#[derive(Debug, Clone)]
enum OutcomeState {
    Running,
    Stored(StoredAnswer),
    Delivered,
    Unknown,
}

#[derive(Debug, Clone)]
struct OutcomeEntry {
    attempt: AttemptId,
    body: u64,
    state: OutcomeState,
    at: TimePoint,
}

/// Status of a key that a caller presents.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyStatus {
    /// This incarnation does not know the key.
    #[serde(rename = "Unheard")]
    NeverSeen,
    /// The first attempt is still running.
    InProgress,
    /// The answer had not been delivered: it goes to this connection, and to no other.
    Answer(StoredAnswer),
    /// The answer was delivered to another connection.
    AlreadyAnswered,
    /// The key was used with a different body.
    OtherBody,
    /// It is certain that no attempt has run.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// Outcomes of the requests that this incarnation was allowed to run.
///
/// Only this incarnation runs them, so only it can report "not run". The table is lost when the
/// process ends. The claim in the store then has no owner, and retries receive "unknown".
#[derive(Debug, Default)]
pub struct OutcomeTable {
    entries: HashMap<ClaimKey, OutcomeEntry>,
    abandoned: VecDeque<AttemptId>,
}

impl OutcomeTable {
    /// Records that `attempt` is about to claim and run `key`. The entry is created before the
    /// claim, so that a concurrent retry finds `InProgress` and never `NeverSeen`.
    pub fn begin(&mut self, now: TimePoint, key: ClaimKey, attempt: AttemptId, body: u64) {
        self.entries.retain(|_, entry| now.since(entry.at) < ENTRY_LIFETIME);
        let entry = OutcomeEntry { attempt, body, state: OutcomeState::Running, at: now };
        self.entries.insert(key, entry);
    }

    /// The status that a retry of `key` receives. An undelivered answer is returned only once.
    pub fn present(&mut self, key: ClaimKey, body: u64) -> KeyStatus {
        let Some(entry) = self.entries.get_mut(&key) else {
            return KeyStatus::NeverSeen;
        };
        if entry.body != body {
            return KeyStatus::OtherBody;
        }
        match &entry.state {
            OutcomeState::Running => KeyStatus::InProgress,
            OutcomeState::Unknown => KeyStatus::Unknown,
            OutcomeState::Delivered => KeyStatus::AlreadyAnswered,
            OutcomeState::Stored(_) => {
                match std::mem::replace(&mut entry.state, OutcomeState::Delivered) {
                    OutcomeState::Stored(answer) => KeyStatus::Answer(answer),
                    _ => KeyStatus::AlreadyAnswered,
                }
            }
        }
    }

    /// The status for a retry that found `attempt` of this incarnation as the claimant of `key`.
    pub fn present_claimed(&mut self, key: ClaimKey, attempt: AttemptId, body: u64) -> KeyStatus {
        if self.abandoned.contains(&attempt) {
            return KeyStatus::NotRun;
        }
        if self.entries.get(&key).is_some_and(|entry| entry.attempt == attempt) {
            return self.present(key, body);
        }
        KeyStatus::Unknown
    }

    /// Records that the attempt never ran and never will. The request as a whole counts as "not
    /// run" only if the stored claim belongs to this attempt, since another attempt may have
    /// claimed the key.
    pub fn abandon(&mut self, key: ClaimKey, attempt: AttemptId) {
        if self.entries.get(&key).is_some_and(|entry| entry.attempt == attempt) {
            self.entries.remove(&key);
        }
        if self.abandoned.len() >= MAX_ABANDONED {
            self.abandoned.pop_front();
        }
        self.abandoned.push_back(attempt);
    }

    /// Whether `attempt` may run now: it was started and has not been abandoned since.
    pub fn may_run(&self, key: ClaimKey, attempt: AttemptId) -> bool {
        self.entries.get(&key).is_some_and(|entry| entry.attempt == attempt)
            && !self.abandoned.contains(&attempt)
    }

    /// Records that the attempt ran. Its answer is stored until it is delivered.
    pub fn record_answer(&mut self, key: ClaimKey, attempt: AttemptId, answer: StoredAnswer) {
        self.set_state(key, attempt, OutcomeState::Stored(answer));
    }

    /// Records that the attempt may have run.
    pub fn record_unknown(&mut self, key: ClaimKey, attempt: AttemptId) {
        self.set_state(key, attempt, OutcomeState::Unknown);
    }

    fn set_state(&mut self, key: ClaimKey, attempt: AttemptId, state: OutcomeState) {
        let Some(entry) = self.entries.get_mut(&key).filter(|entry| entry.attempt == attempt)
        else {
            return;
        };
        let is_running = matches!(entry.state, OutcomeState::Running);
        crate::invariant!(is_running, "outcome_changed", "{key:?} settled twice");
        entry.state = state;
    }
}
