use super::{InjectedBug, WorldReport};
use crate::keys::{AttemptId, IncarnationId, TimePoint};
use crate::orders::OrphanTracker;
use crate::placement::SlotTable;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const CAPACITY: usize = 8;
const ENTRIES: usize = 3;
const STEP: Duration = Duration::from_millis(20);
const DECODE_STEP: Duration = Duration::from_millis(20);
/// Age of the engine report that a poll reads.
const REPORT_LAG: Duration = Duration::from_millis(400);
const POLL_STEPS: u64 = 15;
/// Steps without faults at the end, after which nothing may be held for a request that no longer exists.
const QUIET_STEPS: u64 = 800;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EnginePhase {
    Waiting,
    Running,
    Finished,
}

#[derive(Debug, Clone, Copy)]
struct EngineEntry {
    phase: EnginePhase,
    tokens_left: u32,
}

#[derive(Debug, Clone, Copy)]
struct EntryAttempt {
    handoff_at: TimePoint,
    handed_over: bool,
    max_tokens: u32,
}

#[derive(Debug)]
struct SlotWorld {
    rng: StdRng,
    now: TimePoint,
    step_count: u64,
    slots: SlotTable,
    orphans: OrphanTracker,
    engine: BTreeMap<AttemptId, EngineEntry>,
    reports: Vec<(TimePoint, Vec<AttemptId>)>,
    incarnations: [IncarnationId; ENTRIES],
    attempts: BTreeMap<AttemptId, EntryAttempt>,
    serial: u64,
    bug: InjectedBug,
    report: WorldReport,
}

/// Simulates one decode server: its owner, entry hosts that crash, and an engine that holds
/// each attempt until its answer was read or it is cancelled.
pub fn run_slot_world(seed: u64, steps: u64, bug: InjectedBug) -> WorldReport {
    let mut world = SlotWorld {
        rng: StdRng::seed_from_u64(seed),
        now: TimePoint::from_millis(1000),
        step_count: 0,
        slots: SlotTable::new(CAPACITY, DECODE_STEP),
        orphans: OrphanTracker::default(),
        engine: BTreeMap::new(),
        reports: Vec::new(),
        incarnations: [IncarnationId(1), IncarnationId(2), IncarnationId(3)],
        attempts: BTreeMap::new(),
        serial: 0,
        bug,
        report: WorldReport::default(),
    };
    for _ in 0..steps {
        world.inject_faults();
        if world.rng.random_bool(0.15) {
            world.request_slot();
        }
        world.step();
    }
    for _ in 0..QUIET_STEPS {
        world.step();
    }
    world.check_leaks();
    world.report.steps = steps;
    world.report
}

impl SlotWorld {
    fn inject_faults(&mut self) {
        match self.rng.random_range(0..1000) {
            0..=2 => {
                // An entry host crashes; the attempts that it handed over stay in the engine.
                let index = self.rng.random_range(0..ENTRIES);
                let old = self.incarnations[index];
                self.incarnations[index] = IncarnationId(old.0 + ENTRIES as u64);
                self.attempts.retain(|attempt, _| attempt.owner != old);
            }
            3..=4 => {
                // The owner crashes; the next one knows only what the live hosts claim.
                self.slots = SlotTable::new(CAPACITY, DECODE_STEP);
                self.orphans = OrphanTracker::default();
                for (attempt, entry) in &self.attempts {
                    self.slots.start(self.now, *attempt, entry.max_tokens);
                }
            }
            5 => self.engine.clear(),
            _ => return,
        }
        self.report.faults += 1;
    }

    fn request_slot(&mut self) {
        let owner = self.incarnations[self.rng.random_range(0..ENTRIES)];
        self.serial += 1;
        let attempt = AttemptId { owner, serial: self.serial };
        let max_tokens = self.rng.random_range(5..80);
        self.report.tried += 1;
        let earliest = self.now + Duration::from_millis(self.rng.random_range(0..800));
        let latest = earliest + Duration::from_millis(600);
        if let Some(handoff_at) = self.slots.hold(self.now, attempt, earliest, latest, max_tokens) {
            self.attempts
                .insert(attempt, EntryAttempt { handoff_at, handed_over: false, max_tokens });
        }
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        self.step_count += 1;
        self.hand_over_attempts();
        self.step_engine();
        self.end_attempts();
        self.reports.push((self.now, self.engine.keys().copied().collect()));
        if self.step_count.is_multiple_of(POLL_STEPS) {
            self.poll_reports();
        }
    }

    fn hand_over_attempts(&mut self) {
        let now = self.now;
        let due: Vec<AttemptId> = self
            .attempts
            .iter()
            .filter(|(_, entry)| !entry.handed_over && entry.handoff_at <= now)
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in due {
            let Some(entry) = self.attempts.get_mut(&attempt) else { continue };
            entry.handed_over = true;
            let tokens_left = self.rng.random_range(1..=entry.max_tokens);
            let phase = EnginePhase::Waiting;
            self.engine.insert(attempt, EngineEntry { phase, tokens_left });
            // Some of the messages that announce a start are lost.
            if self.rng.random_bool(0.9) {
                self.slots.start(now, attempt, entry.max_tokens);
            }
        }
    }

    fn step_engine(&mut self) {
        let running =
            self.engine.values().filter(|entry| entry.phase != EnginePhase::Waiting).count();
        let mut free = CAPACITY.saturating_sub(running);
        for entry in self.engine.values_mut() {
            match entry.phase {
                EnginePhase::Waiting if free > 0 => {
                    free -= 1;
                    entry.phase = EnginePhase::Running;
                }
                EnginePhase::Running if entry.tokens_left == 0 => {
                    entry.phase = EnginePhase::Finished;
                }
                EnginePhase::Running => entry.tokens_left -= 1,
                EnginePhase::Waiting | EnginePhase::Finished => {}
            }
        }
        let running = self.engine.values().filter(|e| e.phase != EnginePhase::Waiting).count();
        crate::invariant!(running <= CAPACITY, "engine_overfilled", "{running}");
    }

    fn end_attempts(&mut self) {
        let ended: Vec<AttemptId> = self
            .attempts
            .iter()
            .filter(|(attempt, entry)| {
                let is_gone = !self.engine.contains_key(attempt);
                let is_finished = self
                    .engine
                    .get(attempt)
                    .is_some_and(|engine| engine.phase == EnginePhase::Finished);
                entry.handed_over && (is_gone || is_finished)
            })
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in ended {
            self.attempts.remove(&attempt);
            self.report.done += 1;
            // The engine is freed when the answer is read to its end, unless the last read was interrupted.
            if self.rng.random_bool(0.95) {
                self.engine.remove(&attempt);
            }
            if self.rng.random_bool(0.9) {
                self.slots.release(attempt, Some(10));
            }
        }
    }

    fn poll_reports(&mut self) {
        if self.bug == InjectedBug::IgnoreReports {
            return;
        }
        let now = self.now;
        self.reports.retain(|(at, _)| now.since(*at) < REPORT_LAG * 2);
        let Some((as_of, held)) =
            self.reports.iter().rev().find(|(at, _)| now.since(*at) >= REPORT_LAG).cloned()
        else {
            return;
        };
        let untracked = self.slots.reconcile(now, as_of, &held);
        self.orphans.update_untracked(now, &untracked);
        for attempt in self.orphans.attempts_to_query() {
            if self.attempts.contains_key(&attempt) {
                self.orphans.record_claimed(attempt);
                self.slots.confirm(now, attempt, 64);
            } else {
                self.orphans.mark_disowned(attempt);
            }
        }
        if self.bug == InjectedBug::KeepOrphans {
            return;
        }
        for attempt in self.orphans.take_due_cancellations(now) {
            // Some cancellations are lost; the tracker repeats them until a report confirms them.
            if self.rng.random_bool(0.7) {
                self.engine.remove(&attempt);
            }
        }
    }

    fn check_leaks(&mut self) {
        let orphaned: BTreeSet<AttemptId> = self
            .engine
            .keys()
            .copied()
            .filter(|attempt| !self.attempts.contains_key(attempt))
            .collect();
        if !orphaned.is_empty() {
            let line = format!("the engine holds {} attempts of gone requests", orphaned.len());
            self.report.record_violation(line);
        }
        let used = self.slots.used();
        if used > self.attempts.len() {
            let line = format!("the book holds {used} slots for {}", self.attempts.len());
            self.report.record_violation(line);
        }
    }
}
