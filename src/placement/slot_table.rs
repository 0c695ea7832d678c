use super::{LengthModel, SlotEntry, SlotUse};
use crate::keys::{AttemptId, IncarnationId, TimePoint};
use std::time::Duration;

const HOLD_GRACE: Duration = Duration::from_millis(1200);
/// A running attempt is asked for again after this long, since its host may be gone.
const VOUCH_EVERY: Duration = Duration::from_secs(3);
const STEP_WEIGHT: f64 = 0.1;
/// Slots kept free against answers longer than expected, in standard deviations.
const SAFETY: f64 = 0.0;
/// Free moments are looked for at this pace, and this far ahead.
const LOOK_PACE: Duration = Duration::from_millis(40);
const LOOK_TURNS: u32 = 75;

/// The book of one decode server's slots, kept by its owner.
#[derive(Debug)]
pub struct SlotTable {
    capacity: usize,
    entries: Vec<SlotEntry>,
    step: Duration,
    lengths: LengthModel,
}

impl SlotTable {
    /// An empty book of `capacity` slots with a first guess of the decode step.
    pub fn new(capacity: usize, step: Duration) -> Self {
        Self { capacity, entries: Vec::new(), step, lengths: LengthModel::default() }
    }

    /// The attempts in the book.
    pub fn entries(&self) -> &[SlotEntry] {
        &self.entries
    }

    /// Slots in use or promised.
    pub fn used(&self) -> usize {
        self.entries.len()
    }

    /// Changes the capacity when the configuration or a load report says so.
    pub fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// The earliest moment from `wanted_at` on at which a slot is predicted free.
    pub fn earliest_free(&self, now: TimePoint, wanted_at: TimePoint) -> TimePoint {
        (0..LOOK_TURNS)
            .map(|turn| wanted_at + LOOK_PACE * turn)
            .find(|moment| self.has_free_slot(now, *moment))
            .unwrap_or(wanted_at + LOOK_PACE * LOOK_TURNS)
    }

    /// Promises a slot at the first moment from `earliest` to `latest` at which one is predicted
    /// free, and returns that moment.
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
        let handoff_at = (0..LOOK_TURNS)
            .map(|turn| earliest + LOOK_PACE * turn)
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

    /// The attempt's KV cache arrived and it decodes from `now` on.
    pub fn start(&mut self, now: TimePoint, attempt: AttemptId, max_tokens: u32) {
        let slot_use = SlotUse::Running;
        let entry = SlotEntry { attempt, slot_use, since: now, confirmed_at: now, max_tokens };
        match self.entries.iter_mut().find(|entry| entry.attempt == attempt) {
            Some(known) => *known = entry,
            None => self.entries.push(entry),
        }
    }

    /// The attempt's host vouched for it.
    pub fn confirm(&mut self, now: TimePoint, attempt: AttemptId, max_tokens: u32) {
        match self.entries.iter_mut().find(|entry| entry.attempt == attempt) {
            Some(known) if known.slot_use == SlotUse::Running => known.confirmed_at = now,
            _ => self.start(now, attempt, max_tokens),
        }
    }

    /// A host died: nobody vouches for its attempts any more.
    pub fn mark_unconfirmed(&mut self, incarnation: IncarnationId) {
        for entry in self.entries.iter_mut().filter(|e| e.attempt.owner == incarnation) {
            entry.confirmed_at = TimePoint::default();
        }
    }

    /// Frees the slot; `produced` tokens teach how much of their allowance streams use.
    pub fn release(&mut self, attempt: AttemptId, produced: Option<u32>) -> bool {
        let Some(place) = self.entries.iter().position(|entry| entry.attempt == attempt) else {
            return false;
        };
        let entry = self.entries.swap_remove(place);
        if let (Some(produced), SlotUse::Running) = (produced, entry.slot_use) {
            let used = f64::from(produced) / f64::from(entry.max_tokens.max(1));
            self.lengths.record_used(used);
        }
        true
    }

    /// Learns the decode step from a load report.
    pub fn record_step(&mut self, step: Duration) {
        let mixed =
            self.step.as_secs_f64() * (1.0 - STEP_WEIGHT) + step.as_secs_f64() * STEP_WEIGHT;
        self.step = Duration::from_secs_f64(mixed);
    }

    /// Drops lapsed holds and returns whose they were.
    pub fn expire(&mut self, now: TimePoint) -> Vec<AttemptId> {
        let lapsed = |entry: &SlotEntry| matches!(entry.slot_use, SlotUse::Held { expires_at, .. } if expires_at <= now);
        let gone = self.entries.iter().filter(|e| lapsed(e)).map(|e| e.attempt).collect();
        self.entries.retain(|entry| !lapsed(entry));
        gone
    }

    /// Compares the book with what the engine held at `as_of`; returns the attempts to ask about.
    /// These are the strays, and running ones that nobody vouched for lately.
    ///
    /// Running entries that the engine no longer holds are freed if they started well before
    /// `as_of`; attempts the book does not know occupy a slot as strays until they are confirmed
    /// or cancelled.
    pub fn reconcile(
        &mut self,
        now: TimePoint,
        as_of: TimePoint,
        engine_holds: &[AttemptId],
    ) -> Vec<AttemptId> {
        // A lapsed hold whose start was never reported would hide what the engine holds.
        self.expire(now);
        let gone = |entry: &SlotEntry| match entry.slot_use {
            SlotUse::Held { .. } => false,
            SlotUse::Running | SlotUse::Untracked { .. } => {
                entry.since < as_of && !engine_holds.contains(&entry.attempt)
            }
        };
        self.entries.retain(|entry| !gone(entry));
        for attempt in engine_holds {
            if !self.entries.iter().any(|entry| entry.attempt == *attempt) {
                let slot_use = SlotUse::Untracked { seen_at: now };
                let stray = SlotEntry {
                    attempt: *attempt,
                    slot_use,
                    since: now,
                    confirmed_at: now,
                    max_tokens: 64,
                };
                self.entries.push(stray);
            }
        }
        let doubtful = |entry: &&SlotEntry| match entry.slot_use {
            SlotUse::Held { .. } => false,
            SlotUse::Untracked { .. } => true,
            SlotUse::Running => now.since(entry.confirmed_at) >= VOUCH_EVERY,
        };
        self.entries.iter().filter(doubtful).map(|entry| entry.attempt).collect()
    }

    /// The probability that the entry occupies its slot at `moment`.
    fn occupies(&self, now: TimePoint, entry: &SlotEntry, moment: TimePoint) -> f64 {
        let allowance = self.step.mul_f64(f64::from(entry.max_tokens.max(1))).as_secs_f64();
        let part = |begun: TimePoint, at: TimePoint| at.since(begun).as_secs_f64() / allowance;
        match entry.slot_use {
            SlotUse::Held { handoff_at, .. } => {
                let begun = handoff_at.max(now);
                if begun > moment { 0.0 } else { self.lengths.survival(0.0, part(begun, moment)) }
            }
            SlotUse::Running | SlotUse::Untracked { .. } => {
                let reached = part(entry.since, now).min(0.97);
                let later = reached + part(now, moment);
                self.lengths.survival(reached, later)
            }
        }
    }

    /// Expected number of occupied slots at `moment`, and its variance.
    fn occupied_at(&self, now: TimePoint, moment: TimePoint) -> (f64, f64) {
        self.entries.iter().fold((0.0, 0.0), |(mean, variance), entry| {
            let chance = self.occupies(now, entry, moment);
            (mean + chance, variance + chance * (1.0 - chance))
        })
    }

    fn has_free_slot(&self, now: TimePoint, moment: TimePoint) -> bool {
        let (mean, variance) = self.occupied_at(now, moment);
        mean + SAFETY * variance.sqrt() + 1.0 <= self.capacity as f64 + 1e-6
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
