use super::ClearanceUpdate;
use super::crash_record::{TELLS, whole_millis};
use crate::keys::{RequestKey, TimePoint};
use std::collections::BTreeMap;

/// ClearanceTable kept: 48 KB with their table (reckoned).
const MOST_ACQUITTALS: usize = 1024;

#[derive(Debug, Clone, Copy)]
struct ClearanceEntry {
    at: TimePoint,
    sends_left: u8,
}

/// Requests that had been at a crash and were answered whole.
#[derive(Debug, Clone, Default)]
pub(super) struct ClearanceTable {
    held: BTreeMap<RequestKey, ClearanceEntry>,
}

impl ClearanceTable {
    /// When a request was last acquitted.
    pub fn at(&self, request: RequestKey) -> Option<TimePoint> {
        self.held.get(&request).map(|held| held.at)
    }

    /// Takes over an acquittal; false if a later one is known.
    pub fn record(&mut self, at: TimePoint, request: RequestKey) -> bool {
        let known = self.held.get(&request);
        if known.is_some_and(|known| known.at >= at) {
            return false;
        }
        if known.is_none() && self.held.len() >= MOST_ACQUITTALS {
            let oldest = self.held.iter().min_by_key(|(_, held)| held.at).map(|(key, _)| *key);
            oldest.and_then(|oldest| self.held.remove(&oldest));
        }
        self.held.insert(request, ClearanceEntry { at, sends_left: TELLS });
        true
    }

    /// All of them.
    pub fn all(&self, now: TimePoint) -> Vec<ClearanceUpdate> {
        self.held.iter().map(|(request, held)| news(now, *request, held)).collect()
    }

    /// At most `most` of those that are yet to be told.
    pub fn unsent(&mut self, now: TimePoint, most: usize) -> Vec<ClearanceUpdate> {
        let due = self.held.iter_mut().filter(|(_, held)| held.sends_left > 0);
        due.take(most)
            .map(|(request, held)| {
                held.sends_left -= 1;
                news(now, *request, held)
            })
            .collect()
    }

    pub fn retain(&mut self, keep: impl Fn(TimePoint) -> bool) {
        self.held.retain(|_, held| keep(held.at));
    }
}

fn news(now: TimePoint, request: RequestKey, held: &ClearanceEntry) -> ClearanceUpdate {
    ClearanceUpdate { request, age_ms: whole_millis(now.since(held.at)) }
}
