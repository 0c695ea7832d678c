use crate::keys::TimePoint;
use std::time::Duration;

/// What a host told comes back to it from others, later by the time that it was on its way.
const ECHO_TIME: Duration = Duration::from_millis(300);

/// How fresh this host's view of one kind of objects is.
///
/// Two things are told apart here. That somebody heard the store lately says how fresh a view is only if it holds
/// what that host holds; and a host that was told of a newer view than its own knows itself to be behind, whatever
/// the store answered to whom.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ViewFreshness {
    /// The view lacks no change made before.
    complete_at: TimePoint,
    /// When the store last answered this host's own question, and the newest such time that others told of.
    own_answer_at: TimePoint,
    told_answer_at: TimePoint,
    /// A newer revision that others have, and since when this host knows that.
    behind: Option<(u64, TimePoint)>,
    /// A newer revision that lacked nothing at a moment: this view will not either, once it holds that revision.
    ahead: Option<(u64, TimePoint)>,
    /// The store had nothing more to tell up to this revision, though the view may name an older one.
    reached: u64,
}

impl ViewFreshness {
    /// The store answered this host's own question: up to `at` and its `revision` all that it told is held.
    ///
    /// What others have beyond that must be heard anew.
    pub fn record_complete(&mut self, at: TimePoint, revision: u64) {
        self.complete_at = self.complete_at.max(at);
        self.own_answer_at = self.own_answer_at.max(at);
        self.reached = self.reached.max(revision);
        self.behind = None;
    }

    /// Another host holds the revision `heard`, and this one `own`.
    pub fn apply_revision(&mut self, now: TimePoint, own: u64, heard: u64) {
        if self.behind_for(now, own).is_none() {
            self.behind = (own.max(self.reached) < heard).then_some((heard, now));
        }
    }

    /// Another host's view, of revision `heard`, lacked nothing `age` ago; so did this one's if it holds as much.
    pub fn apply_age(&mut self, now: TimePoint, own: u64, heard: u64, age: Duration) {
        let own = own.max(self.reached);
        self.told_answer_at = self.told_answer_at.max(now - age);
        self.complete_at = self.complete_since(own);
        self.ahead = self.ahead.filter(|(revision, _)| own < *revision);
        if own >= heard {
            self.complete_at = self.complete_at.max(now - age);
        } else if self.ahead.is_none() {
            self.ahead = Some((heard, now - age));
        }
    }

    /// Whether nobody has told of an answer of the store that is newer than the last one to this host.
    pub fn has_newest_answer(&self) -> bool {
        self.told_answer_at <= self.own_answer_at + ECHO_TIME
    }

    /// For how long this host, which holds `own`, has known that others hold more.
    pub fn behind_for(&self, now: TimePoint, own: u64) -> Option<Duration> {
        let (_, since) = self.behind.filter(|(revision, _)| own.max(self.reached) < *revision)?;
        Some(now.since(since))
    }

    /// Time since the view, which holds `own`, was last known to lack nothing.
    pub fn age(&self, now: TimePoint, own: u64) -> Duration {
        now.since(self.complete_since(own.max(self.reached)))
    }

    fn complete_since(&self, own: u64) -> TimePoint {
        let reached = self.ahead.filter(|(revision, _)| own >= *revision);
        reached.map_or(self.complete_at, |(_, at)| self.complete_at.max(at))
    }
}
