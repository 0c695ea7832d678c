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
const LAG: Duration = Duration::from_millis(400);
const POLL_STEPS: u64 = 15;
/// Steps without faults at the end, after which nothing may be held for a request that is gone.
const HEAL_STEPS: u64 = 800;

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
    handed: bool,
    max_tokens: u32,
}

#[derive(Debug)]
struct SlotWorld {
    rng: StdRng,
    now: TimePoint,
    turn: u64,
    book: SlotTable,
    sweep: OrphanTracker,
    engine: BTreeMap<AttemptId, EngineEntry>,
    reports: Vec<(TimePoint, Vec<AttemptId>)>,
    lives: [IncarnationId; ENTRIES],
    attempts: BTreeMap<AttemptId, EntryAttempt>,
    serial: u64,
    bug: InjectedBug,
    report: WorldReport,
}

/// Runs the world of one decode server: its owner, entry hosts that die, and an engine that holds
/// what it was given until it is cancelled.
pub fn run_slot_world(seed: u64, steps: u64, bug: InjectedBug) -> WorldReport {
    let mut world = SlotWorld {
        rng: StdRng::seed_from_u64(seed),
        now: TimePoint::from_millis(1000),
        turn: 0,
        book: SlotTable::new(CAPACITY, DECODE_STEP),
        sweep: OrphanTracker::default(),
        engine: BTreeMap::new(),
        reports: Vec::new(),
        lives: [IncarnationId(1), IncarnationId(2), IncarnationId(3)],
        attempts: BTreeMap::new(),
        serial: 0,
        bug,
        report: WorldReport::default(),
    };
    for _ in 0..steps {
        world.strike();
        if world.rng.random_bool(0.15) {
            world.ask();
        }
        world.step();
    }
    for _ in 0..HEAL_STEPS {
        world.step();
    }
    world.check();
    world.report.steps = steps;
    world.report
}

impl SlotWorld {
    fn strike(&mut self) {
        match self.rng.random_range(0..1000) {
            0..=2 => {
                // An entry host dies; whatever it gave the engine stays there.
                let place = self.rng.random_range(0..ENTRIES);
                let old = self.lives[place];
                self.lives[place] = IncarnationId(old.0 + ENTRIES as u64);
                self.attempts.retain(|attempt, _| attempt.owner != old);
            }
            3..=4 => {
                // The owner dies: the next one knows what living hosts claim, and nothing else.
                self.book = SlotTable::new(CAPACITY, DECODE_STEP);
                self.sweep = OrphanTracker::default();
                for (attempt, entry) in &self.attempts {
                    self.book.start(self.now, *attempt, entry.max_tokens);
                }
            }
            5 => self.engine.clear(),
            _ => return,
        }
        self.report.faults += 1;
    }

    fn ask(&mut self) {
        let owner = self.lives[self.rng.random_range(0..ENTRIES)];
        self.serial += 1;
        let attempt = AttemptId { owner, serial: self.serial };
        let max_tokens = self.rng.random_range(5..80);
        self.report.tried += 1;
        let earliest = self.now + Duration::from_millis(self.rng.random_range(0..800));
        let latest = earliest + Duration::from_millis(600);
        if let Some(handoff_at) = self.book.hold(self.now, attempt, earliest, latest, max_tokens) {
            self.attempts.insert(attempt, EntryAttempt { handoff_at, handed: false, max_tokens });
        }
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        self.turn += 1;
        self.hand_over();
        self.work_engine();
        self.end_attempts();
        self.reports.push((self.now, self.engine.keys().copied().collect()));
        if self.turn.is_multiple_of(POLL_STEPS) {
            self.poll();
        }
    }

    fn hand_over(&mut self) {
        let now = self.now;
        let due: Vec<AttemptId> = self
            .attempts
            .iter()
            .filter(|(_, entry)| !entry.handed && entry.handoff_at <= now)
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in due {
            let Some(entry) = self.attempts.get_mut(&attempt) else { continue };
            entry.handed = true;
            let tokens_left = self.rng.random_range(1..=entry.max_tokens);
            let phase = EnginePhase::Waiting;
            self.engine.insert(attempt, EngineEntry { phase, tokens_left });
            // The news of the start is lost now and then.
            if self.rng.random_bool(0.9) {
                self.book.start(now, attempt, entry.max_tokens);
            }
        }
    }

    fn work_engine(&mut self) {
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
        let held = self.engine.values().filter(|e| e.phase != EnginePhase::Waiting).count();
        crate::invariant!(held <= CAPACITY, "engine_overfilled", "{held}");
    }

    fn end_attempts(&mut self) {
        let ended: Vec<AttemptId> = self
            .attempts
            .iter()
            .filter(|(attempt, entry)| {
                let gone = !self.engine.contains_key(attempt);
                let read = self
                    .engine
                    .get(attempt)
                    .is_some_and(|engine| engine.phase == EnginePhase::Finished);
                entry.handed && (gone || read)
            })
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in ended {
            self.attempts.remove(&attempt);
            self.report.done += 1;
            // Reading to the end frees the engine, unless the last read was cut.
            if self.rng.random_bool(0.95) {
                self.engine.remove(&attempt);
            }
            if self.rng.random_bool(0.9) {
                self.book.release(attempt, Some(10));
            }
        }
    }

    fn poll(&mut self) {
        if self.bug == InjectedBug::IgnoreReports {
            return;
        }
        let now = self.now;
        self.reports.retain(|(at, _)| now.since(*at) < LAG * 2);
        let Some((as_of, held)) =
            self.reports.iter().rev().find(|(at, _)| now.since(*at) >= LAG).cloned()
        else {
            return;
        };
        let strays = self.book.reconcile(now, as_of, &held);
        self.sweep.update_untracked(now, &strays);
        for attempt in self.sweep.attempts_to_query() {
            if self.attempts.contains_key(&attempt) {
                self.sweep.record_claimed(attempt);
                self.book.confirm(now, attempt, 64);
            } else {
                self.sweep.mark_disowned(attempt);
            }
        }
        if self.bug == InjectedBug::KeepOrphans {
            return;
        }
        for attempt in self.sweep.take_due_cancellations(now) {
            // Cancels are lost now and then; the sweep goes on until a report confirms.
            if self.rng.random_bool(0.7) {
                self.engine.remove(&attempt);
            }
        }
    }

    fn check(&mut self) {
        let gone: BTreeSet<AttemptId> = self
            .engine
            .keys()
            .copied()
            .filter(|attempt| !self.attempts.contains_key(attempt))
            .collect();
        if !gone.is_empty() {
            let line = format!("the engine holds {} attempts of gone requests", gone.len());
            self.report.record_violation(line);
        }
        let used = self.book.used();
        if used > self.attempts.len() {
            let line = format!("the book holds {used} slots for {}", self.attempts.len());
            self.report.record_violation(line);
        }
    }
}
