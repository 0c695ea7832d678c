use super::ClearanceUpdate;
use super::crash_record::{UPDATE_SENDS, whole_millis};
use crate::keys::{RequestKey, TimePoint};
use std::collections::BTreeMap;

/// Maximum number of clearances kept: an estimated 48 KB with their table.
const MAX_CLEARANCES: usize = 1024;

#[derive(Debug, Clone, Copy)]
struct ClearanceEntry {
    cleared_at: TimePoint,
    sends_left: u8,
}

/// Requests that were in flight at a crash and were also answered in full, which clears them of suspicion.
#[derive(Debug, Clone, Default)]
pub(super) struct ClearanceTable {
    entries: BTreeMap<RequestKey, ClearanceEntry>,
}

impl ClearanceTable {
    /// When a request was last cleared.
    pub fn cleared_at(&self, request: RequestKey) -> Option<TimePoint> {
        self.entries.get(&request).map(|entry| entry.cleared_at)
    }

    /// Records a clearance. Returns false if one at least as recent is known.
    pub fn record(&mut self, at: TimePoint, request: RequestKey) -> bool {
        let known = self.entries.get(&request);
        if known.is_some_and(|known| known.cleared_at >= at) {
            return false;
        }
        if known.is_none() && self.entries.len() >= MAX_CLEARANCES {
            let oldest =
                self.entries.iter().min_by_key(|(_, entry)| entry.cleared_at).map(|(key, _)| *key);
            oldest.and_then(|oldest| self.entries.remove(&oldest));
        }
        self.entries.insert(request, ClearanceEntry { cleared_at: at, sends_left: UPDATE_SENDS });
        true
    }

    /// All clearances.
    pub fn all(&self, now: TimePoint) -> Vec<ClearanceUpdate> {
        self.entries.iter().map(|(request, entry)| clearance_update(now, *request, entry)).collect()
    }

    /// At most `max_count` of the clearances that are still to be sent to other hosts.
    pub fn unsent(&mut self, now: TimePoint, max_count: usize) -> Vec<ClearanceUpdate> {
        let due = self.entries.iter_mut().filter(|(_, entry)| entry.sends_left > 0);
        due.take(max_count)
            .map(|(request, entry)| {
                entry.sends_left -= 1;
                clearance_update(now, *request, entry)
            })
            .collect()
    }

    /// Removes the clearances whose time does not satisfy `keep`.
    pub fn retain(&mut self, keep: impl Fn(TimePoint) -> bool) {
        self.entries.retain(|_, entry| keep(entry.cleared_at));
    }
}

fn clearance_update(
    now: TimePoint,
    request: RequestKey,
    entry: &ClearanceEntry,
) -> ClearanceUpdate {
    ClearanceUpdate { request, age_ms: whole_millis(now.since(entry.cleared_at)) }
}
