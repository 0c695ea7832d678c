use crate::keys::{IncarnationId, TimePoint};
use std::collections::HashMap;
use std::time::Duration;

/// What a host said of itself is believed this long. In a domain of 30 hosts each hears every other
/// one within 5.6 s; a host asks the store again, and says so, at least every 4 s.
const NEWS_LIFE: Duration = Duration::from_secs(6);

/// Hosts that are tried in an office before it stays with the oldest. In an outage of the store each
/// new holder finds out by a call and tells everybody: among 60 candidates that would be 60 calls
/// and 18,000 datagrams at its beginning. All four are turned away by chance once in 80 outages that
/// spare two thirds of the hosts; the others then ask by themselves.
const CANDIDATES: usize = 4;

/// Hosts that the store turns away or does not answer, as each says of itself. They are left out
/// when a host is elected for work that needs the store.
#[derive(Debug, Clone, Default)]
pub struct RefusedHosts {
    refused_at: HashMap<IncarnationId, TimePoint>,
}

impl RefusedHosts {
    /// A host said whether the store refuses it; true if that is new.
    pub fn record(&mut self, now: TimePoint, host: IncarnationId, refused: bool) -> bool {
        let before = self.is_refused(now, host);
        if refused {
            self.refused_at.insert(host, now);
        } else {
            self.refused_at.remove(&host);
        }
        before != refused
    }

    /// Whether a host lately said that the store refuses it.
    pub fn is_refused(&self, now: TimePoint, host: IncarnationId) -> bool {
        self.refused_at.get(&host).is_some_and(|at| now.since(*at) < NEWS_LIFE)
    }

    /// The host elected for work that needs the store: of the oldest few candidates the first that
    /// the store answers, or the oldest if it answers none of them.
    ///
    /// The oldest keeps its office while others come and go: with each handover the next holder waits until the
    /// last one's lease has passed.
    pub fn elect(
        &self,
        now: TimePoint,
        candidates: impl Iterator<Item = IncarnationId>,
    ) -> Option<IncarnationId> {
        let oldest = oldest_candidates(candidates);
        let answered = oldest.iter().find(|host| !self.is_refused(now, **host));
        answered.or(oldest.first()).copied()
    }

    /// The hosts that come before `own` in an office and that the store is not known to refuse.
    pub fn predecessors(
        &self,
        now: TimePoint,
        own: IncarnationId,
        candidates: impl Iterator<Item = IncarnationId>,
    ) -> Vec<IncarnationId> {
        let mut others = Self::other_candidates(own, candidates);
        others.retain(|host| *host < own && !self.is_refused(now, *host));
        others
    }

    /// The other hosts that are tried in an office, if `own` is one of them.
    pub fn other_candidates(
        own: IncarnationId,
        candidates: impl Iterator<Item = IncarnationId>,
    ) -> Vec<IncarnationId> {
        let mut oldest = oldest_candidates(candidates);
        // All others leave it to these few.
        if !oldest.contains(&own) {
            return Vec::new();
        }
        oldest.retain(|host| *host != own);
        oldest
    }

    /// Forgets news that nobody repeats.
    pub fn expire(&mut self, now: TimePoint) {
        self.refused_at.retain(|_, at| now.since(*at) < NEWS_LIFE);
    }
}

/// The hosts that are tried in an office, the oldest first.
fn oldest_candidates(candidates: impl Iterator<Item = IncarnationId>) -> Vec<IncarnationId> {
    let mut oldest: Vec<IncarnationId> = candidates.collect();
    oldest.sort_unstable();
    oldest.truncate(CANDIDATES);
    oldest
}
