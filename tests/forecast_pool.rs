//! A pool of engines that keep holds, with and without the forecast of lengths and the pace of servers.

use rstest::rstest;
use std::collections::{HashMap, HashSet};
use std::time::Duration;
use tealcleat::fleet::{ServerEntry, ServerStage, ServerState, StageChanges};
use tealcleat::keys::{IncarnationId, NameKey, ServerKey, TimePoint, mix_hash};
use tealcleat::memory_forecast::{AnswerSize, OutputForecast, PaceTable};
use tealcleat::placement::{
    DomainBreakers, LoadTable, RankingContext, RankingCriterion, ServerLoad, rank_servers,
};

const MEMORY: u32 = 28_798;
const SLOTS: u32 = 12;
const EVENT_TOKENS: u32 = 13;
const MEAN_PROMPT: f64 = 3200.0;
const MEAN_EVENTS: f64 = 69.0;
const MAX_OUTPUT: u32 = 170 * EVENT_TOKENS;
const ROUTE: NameKey = NameKey(1);
const SERVICE: NameKey = NameKey(2);
const HOST: IncarnationId = IncarnationId(7);

/// Largest logarithm of an estimate over the length of the answer, or of its inverse: a factor of 2.5.
const ESTIMATE_SPREAD: f64 = 0.9;

/// Ticks of the pool, of 11 ms: duration of a trial, time from a hold to the start of its run, age of the known loads.
const TICK_MS: u64 = 11;
const TICKS: u64 = 4000;
const START_TICKS: u64 = 16;
const UPDATE_TICKS: u64 = 90;
/// Ticks per event of the engines of a pool.
const EQUAL: [u64; 12] = [4; 12];
const TWO_SPEEDS: [u64; 12] = [2, 5, 5, 5, 2, 5, 5, 5, 2, 5, 5, 5];
/// Value of an answer that was preempted and so paused for too long, as a fraction of another one's.
const PREEMPTED_VALUE: f64 = 0.3;

#[derive(Debug, Clone, Copy, PartialEq)]
enum Phase {
    Held { until: u64 },
    Running,
    Preempted,
}

#[derive(Debug, Clone, Copy)]
struct Run {
    prompt: u32,
    size: AnswerSize,
    output: u32,
    generated: u32,
    /// Tokens that its hold named.
    held: u32,
    phase: Phase,
    was_preempted: bool,
}

impl Run {
    /// Tokens reserved for it.
    fn memory(&self) -> u32 {
        match self.phase {
            Phase::Held { .. } | Phase::Running => self.held.max(self.prompt + self.generated),
            Phase::Preempted => 0,
        }
    }

    fn has_outgrown_hold(&self) -> bool {
        self.phase == Phase::Running && self.prompt + self.generated > self.held
    }
}

#[derive(Debug, Default, Clone, Copy)]
struct Outcome {
    value: f64,
    whole: u32,
    preemptions: u32,
    refused: u32,
}

/// Engines that keep what a hold named reserved until its run ends, and preempt the newest run that has outgrown its
/// hold when no memory is free.
#[derive(Debug)]
struct Pool {
    engines: Vec<Vec<Run>>,
    periods: [u64; 12],
    outcome: Outcome,
}

impl Pool {
    fn admit(&mut self, engine: usize, run: Run) -> bool {
        let runs = &mut self.engines[engine];
        let used: u32 = runs.iter().map(Run::memory).sum();
        let fits = runs.len() < SLOTS as usize && used + run.memory() <= MEMORY;
        if fits {
            runs.push(run);
        }
        fits
    }

    /// Lets all engines run for a tick and returns the stated and the actual lengths of the finished answers.
    fn step(&mut self, tick: u64) -> Vec<(AnswerSize, u32)> {
        let mut finished = Vec::new();
        for (runs, period) in self.engines.iter_mut().zip(self.periods) {
            for run in runs.iter_mut() {
                match run.phase {
                    Phase::Held { until, .. } if until <= tick => run.phase = Phase::Running,
                    Phase::Running if tick.is_multiple_of(period) => run.generated += EVENT_TOKENS,
                    _ => {}
                }
            }
            for run in runs.extract_if(.., |run| run.generated >= run.output) {
                finished.push((run.size, run.output));
                self.outcome.whole += 1;
                self.outcome.value += if run.was_preempted { PREEMPTED_VALUE } else { 1.0 };
            }
            while runs.iter().map(Run::memory).sum::<u32>() > MEMORY {
                let newest = runs.iter_mut().rfind(|run| run.has_outgrown_hold());
                let newest = newest.expect("holds alone never exceed the memory");
                (newest.phase, newest.was_preempted) = (Phase::Preempted, true);
                self.outcome.preemptions += 1;
            }
            let used: u32 = runs.iter().map(Run::memory).sum();
            if let Some(run) = runs.iter_mut().find(|run| run.phase == Phase::Preempted)
                && used + run.prompt + run.generated < MEMORY
            {
                (run.phase, run.held) = (Phase::Running, run.prompt + run.generated);
            }
        }
        finished
    }

    fn loads(&self) -> Vec<(ServerKey, ServerLoad)> {
        let load = |runs: &Vec<Run>| ServerLoad {
            requests: runs.len() as u32,
            memory_tokens: runs.iter().map(|run| run.prompt + run.generated).sum(),
            prompt_tokens: 0,
        };
        self.engines.iter().enumerate().map(|(index, runs)| (key(index), load(runs))).collect()
    }
}

fn key(engine: usize) -> ServerKey {
    entry(engine).key()
}

fn entry(engine: usize) -> ServerEntry {
    ServerEntry {
        id: format!("decode-{engine}"),
        started_at: None,
        version: "v1".to_owned(),
        service: SERVICE,
        address: "127.0.0.1:1".parse().expect("an address"),
        domain: NameKey(0),
        state: ServerState::Ready,
        stage: Some(ServerStage::Decode),
        slots: SLOTS,
        cold_ms: 0,
    }
}

/// What a host uses, of what it is to be shown to need.
#[derive(Debug, Clone, Copy)]
struct Uses {
    quantile: bool,
    pace: bool,
}

/// Serves `load` times what the memory of the engines suffices for, over four trials.
fn serve(load: f64, periods: [u64; 12], uses: Uses) -> Outcome {
    let outcomes = (0..4).map(|seed| serve_once(load, periods, uses, seed));
    outcomes.fold(Outcome::default(), |sum, outcome| Outcome {
        value: sum.value + outcome.value,
        whole: sum.whole + outcome.whole,
        preemptions: sum.preemptions + outcome.preemptions,
        refused: sum.refused + outcome.refused,
    })
}

fn serve_once(load: f64, periods: [u64; 12], uses: Uses, seed: u64) -> Outcome {
    let mut pool = Pool { engines: vec![Vec::new(); 12], periods, outcome: Outcome::default() };
    let mut host = TrialHost::new(uses);
    let run_memory = MEAN_PROMPT + MEAN_EVENTS * f64::from(EVENT_TOKENS);
    let run_ticks = |period: &u64| MEAN_EVENTS * *period as f64;
    let rate = periods.iter().map(|period| 1.0 / run_ticks(period)).sum::<f64>()
        * (f64::from(MEMORY) / run_memory)
        * load;
    let (mut due, mut index) = (0.0, seed << 32);
    for tick in 0..TICKS {
        let now = TimePoint::from_millis(tick * TICK_MS);
        if tick.is_multiple_of(UPDATE_TICKS) {
            host.receive_loads(now, &pool);
        }
        due += rate;
        while due >= 1.0 {
            (due, index) = (due - 1.0, index + 1);
            host.request(now, index, tick, &mut pool);
        }
        for (size, length) in pool.step(tick) {
            host.forecast.record(now, ROUTE, size, length);
        }
    }
    pool.outcome
}

/// A host that hears of all runs at the engines once a second.
struct TrialHost {
    uses: Uses,
    servers: Vec<ServerEntry>,
    forecast: OutputForecast,
    paces: PaceTable,
    loads: LoadTable,
    version: u64,
}

impl TrialHost {
    fn new(uses: Uses) -> Self {
        Self {
            uses,
            servers: (0..12).map(entry).collect(),
            forecast: OutputForecast::default(),
            paces: PaceTable::default(),
            loads: LoadTable::default(),
            version: 0,
        }
    }

    fn receive_loads(&mut self, now: TimePoint, pool: &Pool) {
        self.version += 1;
        self.loads.apply_update(now, HOST, self.version, pool.loads().into_iter().collect());
        for (engine, period) in pool.periods.iter().enumerate() {
            let took = Duration::from_millis(8 * period * TICK_MS);
            self.paces.record(now, (SERVICE, key(engine)), (8, EVENT_TOKENS), took);
        }
    }

    fn request(&mut self, now: TimePoint, index: u64, tick: u64, pool: &mut Pool) {
        let draw = |salt| mix_hash(index, salt) as f64 / u64::MAX as f64;
        let prompt = (MEAN_PROMPT * (0.25 + 1.5 * draw(1))) as u32;
        let output = (MEAN_EVENTS * (0.25 + 1.5 * draw(2))) as u32 * EVENT_TOKENS;
        let estimate = f64::from(output) * (ESTIMATE_SPREAD * (2.0 * draw(3) - 1.0)).exp();
        let size = AnswerSize { estimate: Some(estimate as u32), max: MAX_OUTPUT };
        let length = if self.uses.quantile {
            self.forecast.hold_length(ROUTE, size, 0)
        } else {
            size.estimate.unwrap_or_default().min(MAX_OUTPUT)
        };
        let held = prompt + length + 1;
        let phase = Phase::Held { until: tick + START_TICKS };
        let run = Run { prompt, size, output, generated: 0, held, phase, was_preempted: false };
        let order = self.ranked(now, index);
        if !order.into_iter().any(|engine| pool.admit(engine, run)) {
            pool.outcome.refused += 1;
        }
    }

    fn ranked(&self, now: TimePoint, salt: u64) -> Vec<usize> {
        let context = RankingContext {
            loads: &self.loads,
            health: &HashMap::new(),
            domains: &DomainBreakers::default(),
            stage_changes: &StageChanges::default(),
            connected: &HashSet::new(),
            relative_paces: self.uses.pace.then(|| self.paces.relative_paces()),
            local_domain: NameKey(0),
            remote_penalty: 0.0,
            weights: None,
            salt,
        };
        let criterion = RankingCriterion::DecodeMemory(MEMORY);
        let ranked = rank_servers(now, &context, criterion, self.servers.iter());
        let place = |server: &ServerEntry| self.servers.iter().position(|s| s.id == server.id);
        ranked.into_iter().filter_map(place).collect()
    }
}

/// Guards against answers that outgrow their holds, are preempted, and pause for too long, and against holds that name so
/// much that callers are refused instead.
#[rstest]
#[case::below_capacity(0.8)]
#[case::at_capacity(1.0)]
#[case::above_capacity(1.5)]
fn quantile_halves_preemptions(#[case] load: f64) {
    let without = serve(load, EQUAL, Uses { quantile: false, pace: false });
    let with = serve(load, EQUAL, Uses { quantile: true, pace: false });
    println!("load {load}: without {without:?}, with {with:?}");
    assert!(with.preemptions * 2 <= without.preemptions, "{with:?}, {without:?}");
    assert!(f64::from(with.whole) >= f64::from(without.whole) * 0.95, "{with:?}, {without:?}");
}

/// Guards against slow servers that hold memory 2.5 times as long being chosen as readily as fast ones.
#[rstest]
#[case::below_capacity(0.8)]
#[case::at_capacity(1.0)]
#[case::above_capacity(1.5)]
fn pace_serves_more_runs(#[case] load: f64) {
    let without = serve(load, TWO_SPEEDS, Uses { quantile: true, pace: false });
    let with = serve(load, TWO_SPEEDS, Uses { quantile: true, pace: true });
    println!("load {load}: without {without:?}, with {with:?}");
    assert!(with.whole > without.whole, "{with:?}, {without:?}");
    assert!(with.value > without.value, "{with:?}, {without:?}");
}
