use crate::keys::TimePoint;
use std::time::Duration;

/// How fresh this host's view of one kind of objects is.
///
/// Two things are told apart here. That somebody heard the store lately says how fresh a view is only if it holds
/// what that host holds; and a host that was told of a newer view than its own knows itself to be behind, whatever
/// the store answered to whom.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ViewFreshness {
    /// The view lacks no change made before.
    complete_at: TimePoint,
    /// A newer revision that others have, and since when this host knows that.
    behind: Option<(u64, TimePoint)>,
}

impl ViewFreshness {
    /// The store answered a question of this host's own that left at `asked_at`, and all that it told is held.
    pub fn note_complete(&mut self, asked_at: TimePoint) {
        self.complete_at = self.complete_at.max(asked_at);
    }

    /// Another host holds the revision `heard`, and this one `own`. True if that tells it that it is behind, and it
    /// did not know.
    pub fn hear(&mut self, now: TimePoint, own: u64, heard: u64) -> bool {
        let knew = self.is_behind(own);
        if !knew {
            self.behind = (own < heard).then_some((heard, now));
        }
        !knew && self.behind.is_some()
    }

    /// Another host's view, of revision `heard`, lacked nothing `age` ago; so did this one's if it holds as much.
    pub fn hear_age(&mut self, now: TimePoint, own: u64, heard: u64, age: Duration) {
        if own >= heard {
            self.note_complete(now - age);
        }
    }

    /// For how long this host, which holds `own`, has known that others hold more.
    pub fn behind_for(&self, now: TimePoint, own: u64) -> Option<Duration> {
        let (_, since) = self.behind.filter(|(revision, _)| own < *revision)?;
        Some(now.since(since))
    }

    /// Time since the view was last known to lack nothing.
    pub fn age(&self, now: TimePoint) -> Duration {
        now.since(self.complete_at)
    }

    fn is_behind(&self, own: u64) -> bool {
        self.behind.is_some_and(|(revision, _)| own < revision)
    }
}
