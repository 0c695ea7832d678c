use crate::keys::{IncarnationId, TimePoint};
use std::collections::HashMap;
use std::time::Duration;

/// What a host said of itself is believed this long. In a domain of 30 hosts each hears every other
/// one within 5.6 s; a host asks the store again, and says so, at least every 4 s.
const NEWS_LIFE: Duration = Duration::from_secs(6);

/// Hosts that the store turns away or does not answer, as each says of itself. They are left out
/// when a host is elected for work that needs the store.
#[derive(Debug, Clone, Default)]
pub struct RefusedHosts {
    heard: HashMap<IncarnationId, TimePoint>,
}

impl RefusedHosts {
    /// A host said whether the store refuses it; true if that is new.
    pub fn note(&mut self, now: TimePoint, host: IncarnationId, refused: bool) -> bool {
        let before = self.is_refused(now, host);
        if refused {
            self.heard.insert(host, now);
        } else {
            self.heard.remove(&host);
        }
        before != refused
    }

    /// Whether a host lately said that the store refuses it.
    pub fn is_refused(&self, now: TimePoint, host: IncarnationId) -> bool {
        self.heard.get(&host).is_some_and(|at| now.since(*at) < NEWS_LIFE)
    }

    /// The candidates that the store answers; all of them if it answers none.
    pub fn answered<T: Copy>(
        &self,
        now: TimePoint,
        candidates: impl Iterator<Item = (u64, T)>,
    ) -> Vec<(u64, T)> {
        let all: Vec<(u64, T)> = candidates.collect();
        let answered: Vec<(u64, T)> = all
            .iter()
            .filter(|(host, _)| !self.is_refused(now, IncarnationId(*host)))
            .copied()
            .collect();
        if answered.is_empty() { all } else { answered }
    }

    /// Forgets news that nobody repeats.
    pub fn expire(&mut self, now: TimePoint) {
        self.heard.retain(|_, at| now.since(*at) < NEWS_LIFE);
    }
}
