use super::{LengthModel, SlotEntry, SlotUse};
use crate::keys::{AttemptId, IncarnationId, TimePoint};
use std::time::Duration;

/// Time after the expected handoff at which a reservation expires.
const HOLD_GRACE: Duration = Duration::from_millis(1200);
/// Interval at which the host of a running attempt must confirm it, since the host may have
/// crashed.
const CONFIRM_INTERVAL: Duration = Duration::from_secs(3);
/// Weight of one load report in the moving average of the decode step.
const STEP_WEIGHT: f64 = 0.1;
/// Safety margin for answers that are longer than expected, in standard deviations of the number of
/// occupied slots.
const SAFETY_MARGIN: f64 = 0.0;
/// Interval between the times at which a free slot is searched for, and their number.
const SEARCH_STEP: Duration = Duration::from_millis(40);
const SEARCH_STEPS: u32 = 75;

/// The slots of one decode server, kept by its owner.
#[derive(Debug)]
pub struct SlotTable {
    capacity: usize,
    entries: Vec<SlotEntry>,
    step: Duration,
    lengths: LengthModel,
}

impl SlotTable {
    /// An empty table of `capacity` slots with an initial estimate of the decode step.
    pub fn new(capacity: usize, step: Duration) -> Self {
        Self { capacity, entries: Vec::new(), step, lengths: LengthModel::default() }
    }

    /// All entries of the table.
    pub fn entries(&self) -> &[SlotEntry] {
        &self.entries
    }

    /// Number of slots in use or reserved.
    pub fn used(&self) -> usize {
        self.entries.len()
    }

    /// Sets the capacity, which the configuration and the load reports determine.
    pub fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// The earliest time, not before `wanted_at`, at which a slot is predicted to be free.
    pub fn earliest_free(&self, now: TimePoint, wanted_at: TimePoint) -> TimePoint {
        (0..SEARCH_STEPS)
            .map(|index| wanted_at + SEARCH_STEP * index)
            .find(|moment| self.has_free_slot(now, *moment))
            .unwrap_or(wanted_at + SEARCH_STEP * SEARCH_STEPS)
    }

    /// Reserves a slot at the first time between `earliest` and `latest` at which one is predicted
    /// to be free, and returns that time.
    pub fn hold(
        &mut self,
        now: TimePoint,
        attempt: AttemptId,
        earliest: TimePoint,
        latest: TimePoint,
        max_tokens: u32,
    ) -> Option<TimePoint> {
        self.expire(now);
        self.release(attempt, None);
        let handoff_at = (0..SEARCH_STEPS)
            .map(|index| earliest + SEARCH_STEP * index)
            .take_while(|moment| *moment <= latest)
            .find(|moment| self.fits(now, *moment, max_tokens))?;
        let expires_at = handoff_at.max(now) + HOLD_GRACE;
        let slot_use = SlotUse::Held { handoff_at, expires_at };
        self.entries.push(SlotEntry {
            attempt,
            slot_use,
            since: now,
            confirmed_at: now,
            max_tokens,
        });
        let (expected, _) = self.occupied_at(now, handoff_at);
        let fits = expected <= self.capacity as f64 + 1e-6;
        crate::invariant!(fits, "slot_overfilled", "{expected} of {}", self.capacity);
        Some(handoff_at)
    }

    /// Records that the KV cache of the attempt has arrived and that it is decoding from `now` on.
    pub fn start(&mut self, now: TimePoint, attempt: AttemptId, max_tokens: u32) {
        let slot_use = SlotUse::Running;
        let entry = SlotEntry { attempt, slot_use, since: now, confirmed_at: now, max_tokens };
        match self.entries.iter_mut().find(|entry| entry.attempt == attempt) {
            Some(existing) => *existing = entry,
            None => self.entries.push(entry),
        }
    }

    /// Records that the host of the attempt confirmed it.
    pub fn confirm(&mut self, now: TimePoint, attempt: AttemptId, max_tokens: u32) {
        match self.entries.iter_mut().find(|entry| entry.attempt == attempt) {
            Some(existing) if existing.slot_use == SlotUse::Running => existing.confirmed_at = now,
            _ => self.start(now, attempt, max_tokens),
        }
    }

    /// Marks the attempts of a crashed host as unconfirmed.
    pub fn mark_unconfirmed(&mut self, incarnation: IncarnationId) {
        for entry in self.entries.iter_mut().filter(|e| e.attempt.owner == incarnation) {
            entry.confirmed_at = TimePoint::CLOCK_START;
        }
    }

    /// Frees the slot of `attempt`; returns whether it was present. The number of `produced` tokens
    /// updates the length model.
    pub fn release(&mut self, attempt: AttemptId, produced: Option<u32>) -> bool {
        let Some(index) = self.entries.iter().position(|entry| entry.attempt == attempt) else {
            return false;
        };
        let entry = self.entries.swap_remove(index);
        if let (Some(produced), SlotUse::Running) = (produced, entry.slot_use) {
            let used = f64::from(produced) / f64::from(entry.max_tokens.max(1));
            self.lengths.record_used(used);
        }
        true
    }

    /// Updates the estimated decode step from a load report.
    pub fn record_step(&mut self, step: Duration) {
        let average =
            self.step.as_secs_f64() * (1.0 - STEP_WEIGHT) + step.as_secs_f64() * STEP_WEIGHT;
        self.step = Duration::from_secs_f64(average);
    }

    /// Removes expired reservations and returns their attempts.
    pub fn expire(&mut self, now: TimePoint) -> Vec<AttemptId> {
        let is_expired = |entry: &SlotEntry| matches!(entry.slot_use, SlotUse::Held { expires_at, .. } if expires_at <= now);
        let expired = self.entries.iter().filter(|e| is_expired(e)).map(|e| e.attempt).collect();
        self.entries.retain(|entry| !is_expired(entry));
        expired
    }

    /// Reconciles the table with the attempts that the engine held at `as_of`; returns the attempts
    /// whose hosts should be queried. These are the untracked ones and the running ones that have
    /// not been confirmed recently.
    ///
    /// Running entries that the engine no longer holds are freed if they started before `as_of`.
    /// Attempts that are missing from the table occupy a slot as untracked until they are confirmed
    /// or cancelled.
    pub fn reconcile(
        &mut self,
        now: TimePoint,
        as_of: TimePoint,
        engine_holds: &[AttemptId],
    ) -> Vec<AttemptId> {
        // An expired reservation whose start was never reported would hide an attempt that the
        // engine holds.
        self.expire(now);
        let is_gone = |entry: &SlotEntry| match entry.slot_use {
            SlotUse::Held { .. } => false,
            SlotUse::Running | SlotUse::Untracked { .. } => {
                entry.since < as_of && !engine_holds.contains(&entry.attempt)
            }
        };
        self.entries.retain(|entry| !is_gone(entry));
        for attempt in engine_holds {
            if !self.entries.iter().any(|entry| entry.attempt == *attempt) {
                let slot_use = SlotUse::Untracked { seen_at: now };
                let untracked = SlotEntry {
                    attempt: *attempt,
                    slot_use,
                    since: now,
                    confirmed_at: now,
                    max_tokens: 64,
                };
                self.entries.push(untracked);
            }
        }
        let needs_query = |entry: &&SlotEntry| match entry.slot_use {
            SlotUse::Held { .. } => false,
            SlotUse::Untracked { .. } => true,
            SlotUse::Running => now.since(entry.confirmed_at) >= CONFIRM_INTERVAL,
        };
        self.entries.iter().filter(needs_query).map(|entry| entry.attempt).collect()
    }

    /// The probability that the entry occupies a slot at `moment`.
    fn occupies(&self, now: TimePoint, entry: &SlotEntry, moment: TimePoint) -> f64 {
        let max_seconds = self.step.mul_f64(f64::from(entry.max_tokens.max(1))).as_secs_f64();
        let fraction =
            |started_at: TimePoint, at: TimePoint| at.since(started_at).as_secs_f64() / max_seconds;
        match entry.slot_use {
            SlotUse::Held { handoff_at, .. } => {
                let started_at = handoff_at.max(now);
                if started_at > moment {
                    0.0
                } else {
                    self.lengths.survival(0.0, fraction(started_at, moment))
                }
            }
            SlotUse::Running | SlotUse::Untracked { .. } => {
                let reached = fraction(entry.since, now).min(0.97);
                let later = reached + fraction(now, moment);
                self.lengths.survival(reached, later)
            }
        }
    }

    /// Expected number of occupied slots at `moment`, and its variance.
    fn occupied_at(&self, now: TimePoint, moment: TimePoint) -> (f64, f64) {
        self.entries.iter().fold((0.0, 0.0), |(mean, variance), entry| {
            let probability = self.occupies(now, entry, moment);
            (mean + probability, variance + probability * (1.0 - probability))
        })
    }

    fn has_free_slot(&self, now: TimePoint, moment: TimePoint) -> bool {
        let (mean, variance) = self.occupied_at(now, moment);
        mean + SAFETY_MARGIN * variance.sqrt() + 1.0 <= self.capacity as f64 + 1e-6
    }

    fn fits(&self, now: TimePoint, handoff_at: TimePoint, max_tokens: u32) -> bool {
        let end = handoff_at + self.step * max_tokens;
        let later_handoffs = self.entries.iter().filter_map(|entry| match entry.slot_use {
            SlotUse::Held { handoff_at: other, .. } if other > handoff_at && other < end => {
                Some(other)
            }
            _ => None,
        });
        std::iter::once(handoff_at)
            .chain(later_handoffs)
            .all(|moment| self.has_free_slot(now, moment))
    }
}
