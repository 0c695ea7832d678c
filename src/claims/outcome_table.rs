use super::ClaimKey;
use crate::keys::{AttemptId, TimePoint};
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

const KEEP: Duration = Duration::from_secs(660);
/// Attempts that were given up before they ran; beyond this the oldest count as unknown.
const MOST_ABANDONED: usize = 10_000;

/// An answer kept until one connection has taken it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status of the service's answer.
    pub status: u16,
    /// Its body.
    pub body: Vec<u8>,
}

#[derive(Debug, Clone)]
enum OutcomeState {
    Running,
    Kept(StoredAnswer),
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

/// What a presented key meets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyStatus {
    /// This incarnation knows nothing of the key.
    #[serde(rename = "Unheard")]
    NeverSeen,
    /// The first attempt still runs.
    InProgress,
    /// Nobody has received the answer: it goes to this connection, and to no other.
    Answer(StoredAnswer),
    /// The answer went to another connection.
    AlreadyAnswered,
    /// The key was used with another body.
    OtherBody,
    /// Every attempt is known not to have run.
    NotRun,
    /// It may have run.
    Unknown,
}

/// What this incarnation knows of the requests that it was allowed to run.
///
/// It alone ran them, so it alone may say "not run". It dies with the process; then the claim in
/// the store stays without an owner and repeats are told "unknown".
#[derive(Debug, Default)]
pub struct OutcomeTable {
    entries: HashMap<ClaimKey, OutcomeEntry>,
    abandoned: VecDeque<AttemptId>,
}

impl OutcomeTable {
    /// Records that `attempt` is about to claim and run `key`; the entry stands before the claim
    /// does, so that a crossed repeat meets "in progress" and never "unheard".
    pub fn begin(&mut self, now: TimePoint, key: ClaimKey, attempt: AttemptId, body: u64) {
        self.entries.retain(|_, entry| now.since(entry.at) < KEEP);
        let entry = OutcomeEntry { attempt, body, state: OutcomeState::Running, at: now };
        self.entries.insert(key, entry);
    }

    /// What a repeat of `key` meets; an undelivered answer is handed out once.
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
            OutcomeState::Kept(_) => {
                match std::mem::replace(&mut entry.state, OutcomeState::Delivered) {
                    OutcomeState::Kept(answer) => KeyStatus::Answer(answer),
                    _ => KeyStatus::AlreadyAnswered,
                }
            }
        }
    }

    /// What a repeat meets that found `attempt` of this incarnation as the claimant of `key`.
    pub fn present_claimed(&mut self, key: ClaimKey, attempt: AttemptId, body: u64) -> KeyStatus {
        if self.abandoned.contains(&attempt) {
            return KeyStatus::NotRun;
        }
        if self.entries.get(&key).is_some_and(|entry| entry.attempt == attempt) {
            return self.present(key, body);
        }
        KeyStatus::Unknown
    }

    /// The attempt never ran and never will. Only a claim that stands for it makes that "not run"
    /// for the request: another attempt may have claimed the key.
    pub fn abandon(&mut self, key: ClaimKey, attempt: AttemptId) {
        if self.entries.get(&key).is_some_and(|entry| entry.attempt == attempt) {
            self.entries.remove(&key);
        }
        if self.abandoned.len() >= MOST_ABANDONED {
            self.abandoned.pop_front();
        }
        self.abandoned.push_back(attempt);
    }

    /// Whether `attempt` may run now: it began, and was not abandoned since.
    pub fn may_run(&self, key: ClaimKey, attempt: AttemptId) -> bool {
        self.entries.get(&key).is_some_and(|entry| entry.attempt == attempt)
            && !self.abandoned.contains(&attempt)
    }

    /// The attempt ran; its answer is kept until a connection takes it.
    pub fn record_answer(&mut self, key: ClaimKey, attempt: AttemptId, answer: StoredAnswer) {
        self.set_state(key, attempt, OutcomeState::Kept(answer));
    }

    /// The attempt may have run.
    pub fn record_unknown(&mut self, key: ClaimKey, attempt: AttemptId) {
        self.set_state(key, attempt, OutcomeState::Unknown);
    }

    fn set_state(&mut self, key: ClaimKey, attempt: AttemptId, state: OutcomeState) {
        let Some(entry) = self.entries.get_mut(&key).filter(|entry| entry.attempt == attempt)
        else {
            return;
        };
        let open = matches!(entry.state, OutcomeState::Running);
        crate::invariant!(open, "outcome_changed", "{key:?} settled twice");
        entry.state = state;
    }
}
