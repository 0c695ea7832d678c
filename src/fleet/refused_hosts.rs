use crate::keys::{IncarnationId, TimePoint};
use std::collections::HashMap;
use std::time::Duration;

/// How long a host's report about itself is valid. In a domain of 30 hosts each host receives a
/// message from every other one within 5.6 s; a refused host calls the store again, and reports the
/// result, at least every 4 s.
const REPORT_LIFETIME: Duration = Duration::from_secs(6);

/// Number of candidates for election; if the store refuses all of them, the oldest is elected. In a store outage each
/// newly elected host discovers the outage by a failing call and announces it to all hosts: 60 candidates would cause
/// 60 calls and 18,000 datagrams when the outage begins. If the store refuses a third of the hosts at random, it
/// refuses all four candidates in one of 80 such outages; the other hosts then call the store by themselves.
const MAX_CANDIDATES: usize = 4;

/// Hosts that the store refuses or does not answer, as reported by each host itself. They are skipped
/// when a host is elected for work that needs the store.
#[derive(Debug, Clone, Default)]
pub struct RefusedHosts {
    refused_at: HashMap<IncarnationId, TimePoint>,
}

impl RefusedHosts {
    /// Records a host's report on whether the store refuses it; returns true if this changes its status.
    pub fn record(&mut self, now: TimePoint, host: IncarnationId, refused: bool) -> bool {
        let was_refused = self.is_refused(now, host);
        if refused {
            self.refused_at.insert(host, now);
        } else {
            self.refused_at.remove(&host);
        }
        was_refused != refused
    }

    /// Whether the host has a valid report that the store refuses it.
    pub fn is_refused(&self, now: TimePoint, host: IncarnationId) -> bool {
        self.refused_at.get(&host).is_some_and(|at| now.since(*at) < REPORT_LIFETIME)
    }

    /// Elects the host for work that needs the store: of the oldest few candidates the first one that
    /// the store does not refuse, or the oldest if it refuses all of them.
    ///
    /// Electing the oldest host keeps the role in place while other hosts start and stop. Each handover costs time,
    /// since the next holder waits until the lease of the previous one has expired.
    pub fn elect(
        &self,
        now: TimePoint,
        candidates: impl Iterator<Item = IncarnationId>,
    ) -> Option<IncarnationId> {
        let oldest = oldest_candidates(candidates);
        let answered = oldest.iter().find(|host| !self.is_refused(now, **host));
        answered.or(oldest.first()).copied()
    }

    /// The candidates that are elected before `own` and that the store is not known to refuse.
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

    /// The other candidates for election, or none if `own` is not a candidate.
    pub fn other_candidates(
        own: IncarnationId,
        candidates: impl Iterator<Item = IncarnationId>,
    ) -> Vec<IncarnationId> {
        let mut oldest = oldest_candidates(candidates);
        // Hosts that are not candidates are never elected.
        if !oldest.contains(&own) {
            return Vec::new();
        }
        oldest.retain(|host| *host != own);
        oldest
    }

    /// Drops reports that were not renewed in time.
    pub fn expire(&mut self, now: TimePoint) {
        self.refused_at.retain(|_, at| now.since(*at) < REPORT_LIFETIME);
    }
}

/// The candidates for election, oldest first.
fn oldest_candidates(candidates: impl Iterator<Item = IncarnationId>) -> Vec<IncarnationId> {
    let mut oldest: Vec<IncarnationId> = candidates.collect();
    oldest.sort_unstable();
    oldest.truncate(MAX_CANDIDATES);
    oldest
}
