use crate::keys::{AttemptId, TimePoint};
use std::collections::BTreeMap;
use std::time::Duration;

/// Minimum age of an unclaimed attempt before it is cancelled, so that its host can still claim it.
const CLAIM_GRACE: Duration = Duration::from_millis(800);
/// Age at which an attempt whose host is unreachable counts as disowned.
const UNREACHABLE_GRACE: Duration = Duration::from_secs(5);
/// Interval between cancellations of the same attempt.
const CANCEL_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Debug, Clone, Copy)]
struct OrphanEntry {
    seen_at: TimePoint,
    cancelled_at: Option<TimePoint>,
    is_disowned: bool,
}

/// Attempts that an engine holds and no host claims, until their cancellation is confirmed.
#[derive(Debug, Default)]
pub struct OrphanTracker {
    entries: BTreeMap<AttemptId, OrphanEntry>,
}

impl OrphanTracker {
    /// Sets the attempts that the engine holds according to its last report and that the slot table
    /// does not track. Other entries are removed, since the engine no longer holds them.
    pub fn update_untracked(&mut self, now: TimePoint, untracked: &[AttemptId]) {
        self.entries.retain(|attempt, _| untracked.contains(attempt));
        for attempt in untracked {
            let new_entry = OrphanEntry { seen_at: now, cancelled_at: None, is_disowned: false };
            self.entries.entry(*attempt).or_insert(new_entry);
        }
    }

    /// Records that the host of `attempt` has crashed or does not know the attempt.
    pub fn mark_disowned(&mut self, attempt: AttemptId) {
        if let Some(entry) = self.entries.get_mut(&attempt) {
            entry.is_disowned = true;
        }
    }

    /// Records that the host of `attempt` is unreachable. After a grace period the attempt counts
    /// as disowned, since its stream cannot reach that host either.
    pub fn record_unreachable(&mut self, now: TimePoint, attempt: AttemptId) {
        if let Some(entry) = self.entries.get_mut(&attempt) {
            entry.is_disowned |= now.since(entry.seen_at) >= UNREACHABLE_GRACE;
        }
    }

    /// Records that the host of `attempt` claims it, so that it is not an orphan.
    pub fn record_claimed(&mut self, attempt: AttemptId) {
        self.entries.remove(&attempt);
    }

    /// The attempts whose hosts should be queried.
    pub fn attempts_to_query(&self) -> Vec<AttemptId> {
        self.entries.iter().filter(|(_, e)| !e.is_disowned).map(|(attempt, _)| *attempt).collect()
    }

    /// Returns the attempts to cancel now: those that are disowned, past the grace period and not
    /// recently cancelled.
    pub fn take_due_cancellations(&mut self, now: TimePoint) -> Vec<AttemptId> {
        let mut due = Vec::new();
        for (attempt, entry) in &mut self.entries {
            let is_past_grace = entry.is_disowned && now.since(entry.seen_at) >= CLAIM_GRACE;
            let is_cancel_due =
                entry.cancelled_at.is_none_or(|at| now.since(at) >= CANCEL_INTERVAL);
            if is_past_grace && is_cancel_due {
                entry.cancelled_at = Some(now);
                due.push(*attempt);
            }
        }
        due
    }
}
