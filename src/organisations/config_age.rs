use crate::keys::TimePoint;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::time::Duration;

/// Questions that may still be answered; older ones are forgotten. At two a second and up to three hosts
/// asked at a time these are the last second and more, longer than an answer is of use.
const OPEN_QUESTIONS: usize = 8;

/// Asks another host how old its knowledge of the newest configuration is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgeRequest {
    /// Pairs the answer with it.
    pub sequence: u32,
}

/// Answers it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgeReply {
    /// Sequence of the question.
    pub sequence: u32,
    /// Version of the answering host's configuration.
    pub version: u64,
    /// That lacks no change acknowledged more than this many milliseconds before the answer left.
    pub age_ms: u32,
}

/// Until when the configuration in force is known to lack no change.
///
/// Only an answer to a question of this host's own proves anything, and only up to the moment at which
/// the question left: the answer was made after that. An age that arrives unasked may have lain in a
/// buffer while this host was suspended, and would be believed to be young.
#[derive(Debug, Clone, Default)]
pub struct ConfigAge {
    complete_at: Option<TimePoint>,
    sequence: u32,
    open: VecDeque<(u32, TimePoint)>,
}

impl ConfigAge {
    /// Changes younger than this may be missing in the configuration in force.
    pub fn age(&self, now: TimePoint) -> Duration {
        self.complete_at.map_or(Duration::MAX, |at| now.since(at))
    }

    /// The configuration in force lacks no change acknowledged before `at`. A newer one that replaces
    /// it lacks none of them either.
    pub fn record_complete(&mut self, at: TimePoint) {
        self.complete_at = self.complete_at.max(Some(at));
    }

    /// A question that leaves now.
    pub fn next_request(&mut self, now: TimePoint) -> AgeRequest {
        self.sequence = self.sequence.wrapping_add(1);
        if self.open.len() == OPEN_QUESTIONS {
            self.open.pop_front();
        }
        self.open.push_back((self.sequence, now));
        AgeRequest { sequence: self.sequence }
    }

    /// What this host answers to a question, with the configuration `version` in force; nothing if it
    /// does not know its age.
    pub fn reply(&self, now: TimePoint, question: AgeRequest, version: u64) -> Option<AgeReply> {
        let age = now.since(self.complete_at?);
        // Rounded up: a millisecond too old is safe.
        let age_ms = u32::try_from(age.as_millis() + 1).ok()?;
        Some(AgeReply { sequence: question.sequence, version, age_ms })
    }

    /// Takes over an answer, with the configuration `version` in force. One that speaks of a newer
    /// configuration says nothing of this one.
    pub fn apply_reply(&mut self, answer: AgeReply, version: u64) {
        let place = self.open.iter().position(|(sequence, _)| *sequence == answer.sequence);
        let Some((_, asked_at)) = place.and_then(|place| self.open.remove(place)) else {
            return;
        };
        if answer.version <= version {
            self.record_complete(asked_at - Duration::from_millis(answer.age_ms.into()));
        }
    }

    /// Whether the last question has waited for its answer for at least `limit`.
    pub fn has_unanswered_request(&self, now: TimePoint, limit: Duration) -> bool {
        self.open.back().is_some_and(|(_, asked_at)| now.since(*asked_at) >= limit)
    }
}
