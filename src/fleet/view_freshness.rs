use crate::keys::TimePoint;
use std::time::Duration;

/// Other hosts send a host's own answer time back to it, later by the transit time. Times within this tolerance count as
/// the host's own.
const ECHO_TOLERANCE: Duration = Duration::from_millis(300);

/// Tracks the freshness of this host's view of one kind of objects.
///
/// Two facts are kept apart. A recent answer of the store to another host proves this host's view fresh only if the view
/// contains everything that the other host has. A host that learned of a newer view than its own is behind, regardless
/// of which host the store answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ViewFreshness {
    /// The view contains all changes made before this time; `None` if nothing is known of it.
    complete_at: Option<TimePoint>,
    /// When the store last answered this host.
    own_answer_at: Option<TimePoint>,
    /// When the store last answered another host, as far as this host knows.
    peer_answer_at: Option<TimePoint>,
    /// A newer revision that other hosts have, and since when this host has known it.
    behind: Option<(u64, TimePoint)>,
    /// A newer revision that was complete at the given time: this view becomes complete as of that time once it reaches the
    /// revision.
    ahead: Option<(u64, TimePoint)>,
    /// The store has no further changes up to this revision, though the view may name an older one.
    reached: u64,
}

impl ViewFreshness {
    /// Records that the store answered this host: the view contains all changes up to `at` and `revision`.
    ///
    /// Clears the lag; it is set again when another host next announces a newer revision.
    pub fn record_complete(&mut self, at: TimePoint, revision: u64) {
        self.complete_at = self.complete_at.max(Some(at));
        self.own_answer_at = self.own_answer_at.max(Some(at));
        self.reached = self.reached.max(revision);
        self.behind = None;
    }

    /// Applies another host's revision `received`, while this host has `own`.
    pub fn apply_revision(&mut self, now: TimePoint, own: u64, received: u64) {
        if self.behind_for(now, own).is_none() {
            self.behind = (own.max(self.reached) < received).then_some((received, now));
        }
    }

    /// Applies another host's statement that its view of revision `received` was complete `age` ago; this host's view was
    /// as well if it has reached that revision.
    pub fn apply_age(&mut self, now: TimePoint, own: u64, received: u64, age: Duration) {
        let own = own.max(self.reached);
        let at = now - age;
        self.peer_answer_at = self.peer_answer_at.max(Some(at));
        self.complete_at = self.complete_since(own);
        self.ahead = self.ahead.filter(|(revision, _)| own < *revision);
        if own >= received {
            self.complete_at = self.complete_at.max(Some(at));
        } else if self.ahead.is_none() {
            self.ahead = Some((received, at));
        }
    }

    /// Whether no other host reported an answer of the store newer than the last one to this host.
    pub fn has_newest_answer(&self) -> bool {
        self.peer_answer_at <= self.own_answer_at.map(|at| at + ECHO_TOLERANCE)
    }

    /// For how long this host, at revision `own`, has known that other hosts have a newer one.
    pub fn behind_for(&self, now: TimePoint, own: u64) -> Option<Duration> {
        let (_, since) = self.behind.filter(|(revision, _)| own.max(self.reached) < *revision)?;
        Some(now.since(since))
    }

    /// Time since the view, at revision `own`, was last known to be complete; the longest time if it never was.
    pub fn age(&self, now: TimePoint, own: u64) -> Duration {
        let complete_at = self.complete_since(own.max(self.reached));
        complete_at.map_or(Duration::MAX, |at| now.since(at))
    }

    fn complete_since(&self, own: u64) -> Option<TimePoint> {
        let reached = self.ahead.filter(|(revision, _)| own >= *revision);
        self.complete_at.max(reached.map(|(_, at)| at))
    }
}
