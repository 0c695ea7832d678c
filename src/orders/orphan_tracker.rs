use crate::keys::{AttemptId, TimePoint};
use std::collections::BTreeMap;
use std::time::Duration;

/// An unclaimed attempt is given this long for its host to speak up.
const CLAIM_GRACE: Duration = Duration::from_millis(800);
const UNREACHABLE_GRACE: Duration = Duration::from_secs(5);
const CANCEL_AGAIN: Duration = Duration::from_millis(500);

#[derive(Debug, Clone, Copy)]
struct OrphanEntry {
    seen_at: TimePoint,
    cancelled_at: Option<TimePoint>,
    disowned: bool,
}

/// Attempts that an engine holds and nobody claims, until their cancellation is confirmed.
#[derive(Debug, Default)]
pub struct OrphanTracker {
    entries: BTreeMap<AttemptId, OrphanEntry>,
}

impl OrphanTracker {
    /// The attempts that the engine holds and the book does not know, by its last report.
    /// Entries that are no longer among them are confirmed gone.
    pub fn update_untracked(&mut self, now: TimePoint, strays: &[AttemptId]) {
        self.entries.retain(|attempt, _| strays.contains(attempt));
        for attempt in strays {
            let fresh = OrphanEntry { seen_at: now, cancelled_at: None, disowned: false };
            self.entries.entry(*attempt).or_insert(fresh);
        }
    }

    /// The host of `attempt` is dead, or said that it does not know it.
    pub fn mark_disowned(&mut self, attempt: AttemptId) {
        if let Some(entry) = self.entries.get_mut(&attempt) {
            entry.disowned = true;
        }
    }

    /// The host of `attempt` cannot be asked; after a while the attempt counts as disowned, since
    /// its stream cannot reach that host either.
    pub fn record_unreachable(&mut self, now: TimePoint, attempt: AttemptId) {
        if let Some(entry) = self.entries.get_mut(&attempt) {
            entry.disowned |= now.since(entry.seen_at) >= UNREACHABLE_GRACE;
        }
    }

    /// The host of `attempt` claims it: it is no orphan.
    pub fn record_claimed(&mut self, attempt: AttemptId) {
        self.entries.remove(&attempt);
    }

    /// The attempts whose hosts should be asked now.
    pub fn attempts_to_query(&self) -> Vec<AttemptId> {
        self.entries.iter().filter(|(_, e)| !e.disowned).map(|(attempt, _)| *attempt).collect()
    }

    /// The attempts to cancel now: disowned, past their grace, and not cancelled just before.
    pub fn take_due_cancellations(&mut self, now: TimePoint) -> Vec<AttemptId> {
        let mut due = Vec::new();
        for (attempt, entry) in &mut self.entries {
            let ripe = entry.disowned && now.since(entry.seen_at) >= CLAIM_GRACE;
            let waited = entry.cancelled_at.is_none_or(|at| now.since(at) >= CANCEL_AGAIN);
            if ripe && waited {
                entry.cancelled_at = Some(now);
                due.push(*attempt);
            }
        }
        due
    }
}
