use crate::keys::TimePoint;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::time::Duration;

/// Number of pending requests kept; older ones are dropped. With two requests a second to up to three
/// hosts at a time, they cover more than the last second, which is longer than a reply is useful.
const MAX_PENDING: usize = 8;

/// Asks another host for the age of its configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgeRequest {
    /// Matches the reply to the request.
    pub sequence: u32,
}

/// Reply to an [`AgeRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgeReply {
    /// Sequence of the request.
    pub sequence: u32,
    /// Version of the replying host's configuration.
    pub version: u64,
    /// Age of that configuration in milliseconds: it contains all changes acknowledged longer than this before the
    /// reply was sent.
    pub age_ms: u32,
}

/// Tracks up to which time the configuration in force is known to be complete.
///
/// Only a reply to this host's own request is evidence, and only up to the time at which the request was
/// sent, since the reply was made later. An unsolicited age may have stayed in a buffer while this host
/// was suspended, and would be taken for a recent one.
#[derive(Debug, Clone, Default)]
pub struct ConfigAge {
    complete_at: Option<TimePoint>,
    sequence: u32,
    pending: VecDeque<(u32, TimePoint)>,
}

impl ConfigAge {
    /// Age of the configuration in force: only changes younger than this may be missing in it.
    pub fn age(&self, now: TimePoint) -> Duration {
        self.complete_at.map_or(Duration::MAX, |at| now.since(at))
    }

    /// Records that the configuration in force contains all changes acknowledged before `at`. This also
    /// holds for newer configurations that replace it.
    pub fn record_complete(&mut self, at: TimePoint) {
        self.complete_at = self.complete_at.max(Some(at));
    }

    /// Creates a request that is sent now.
    pub fn next_request(&mut self, now: TimePoint) -> AgeRequest {
        self.sequence = self.sequence.wrapping_add(1);
        if self.pending.len() == MAX_PENDING {
            self.pending.pop_front();
        }
        self.pending.push_back((self.sequence, now));
        AgeRequest { sequence: self.sequence }
    }

    /// The reply to a request, with the configuration `version` in force; `None` if its age is unknown.
    pub fn reply(&self, now: TimePoint, request: AgeRequest, version: u64) -> Option<AgeReply> {
        let age = now.since(self.complete_at?);
        // Rounds up, since an age that is a millisecond too high is safe.
        let age_ms = u32::try_from(age.as_millis() + 1).ok()?;
        Some(AgeReply { sequence: request.sequence, version, age_ms })
    }

    /// Applies a reply, with the configuration `version` in force. A reply about a newer configuration
    /// says nothing about this one and is ignored.
    pub fn apply_reply(&mut self, reply: AgeReply, version: u64) {
        let index = self.pending.iter().position(|(sequence, _)| *sequence == reply.sequence);
        let Some((_, sent_at)) = index.and_then(|index| self.pending.remove(index)) else {
            return;
        };
        if reply.version <= version {
            self.record_complete(sent_at - Duration::from_millis(reply.age_ms.into()));
        }
    }

    /// Whether the last request has been pending for at least `limit`.
    pub fn has_unanswered_request(&self, now: TimePoint, limit: Duration) -> bool {
        self.pending.back().is_some_and(|(_, sent_at)| now.since(*sent_at) >= limit)
    }
}
