use super::load_tally::percentile;
use super::{CallRecord, CallResult, Deployment, LoadTally, StandinStats};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

/// The one line that a run prints last.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LoadSummary {
    /// How requests were placed.
    pub policy: String,
    /// The deployment.
    pub deployment: String,
    /// Load as a part of the pools' capacity.
    pub load: f64,
    /// Seed of the mix.
    pub seed: u64,
    /// The fault, or `none`.
    pub fault: String,
    /// Completions offered a second.
    pub offered: f64,
    /// The capacity bound in requests a second.
    pub capacity: f64,
    /// Completions a second that met both targets.
    pub goodput: f64,
    /// The same as a part of those offered.
    pub goodput_share: f64,
    /// The same of those whose prefill is over half a second's work.
    pub goodput_long_share: f64,
    /// The same of the short ones.
    pub goodput_short_share: f64,
    /// Prompt tokens of the good ones as a part of those offered.
    pub goodput_by_work: f64,
    /// Whole answers whose first token came too late, as a part of those offered.
    pub late_share: f64,
    /// 95th percentile of the time to first token, of those that got one.
    pub ttft_p95_ms: f64,
    /// 95th percentile of the time between tokens.
    pub tbt_p95_ms: f64,
    /// Prefill work that served no whole answer, as a part of all prefill work.
    pub wasted_prefill_share: f64,
    /// Busy time of the prefill pool over the time in which calls were sent.
    pub prefill_use: f64,
    /// The same of the decode pool's slots.
    pub decode_use: f64,
    /// The longest organisation's 95th percentile of the first token over the shortest's.
    pub worst_to_best_organisation_wait: f64,
    /// Seconds after the fault until the goodput share stayed above nine tenths of that before it.
    pub recovery_s: Option<f64>,
    /// Callers told "not run".
    pub told_not_run: u64,
    /// The reasons that callers were given.
    pub reasons: BTreeMap<String, u64>,
    /// Callers told "unknown".
    pub told_unknown: u64,
    /// Connections that broke without a final answer (a killed host's callers).
    pub broken: u64,
    /// Once calls that ran twice, or whose answer two connections received.
    pub doubled: u64,
    /// Requests that got a wrong or cut answer as if it were whole, or no final answer at all from a
    /// host that lived.
    pub lost: u64,
    /// Requests told "not run" that ran.
    pub false_not_run: u64,
    /// Attempts that engines still held after the run.
    pub leaked_slots: u64,
    /// Invariants violated in any daemon.
    pub invariant_violations: u64,
}

/// What the summary needs to know of the run.
#[derive(Debug, Clone)]
pub struct RunFacts {
    pub policy: String,
    pub load: f64,
    pub seed: u64,
    pub fault: String,
    pub fault_at: Option<Duration>,
    pub capacity: f64,
    /// Calls sent before this are not counted in shares and times.
    pub warm_up: Duration,
    pub length: Duration,
    /// Hosts were killed, so that broken connections are the fault's.
    pub killed: bool,
    pub invariant_violations: u64,
}

impl LoadSummary {
    /// Sums a run up.
    pub fn new(
        deployment: &Deployment,
        facts: &RunFacts,
        tally: &LoadTally,
        stats: &StandinStats,
    ) -> Self {
        let first = Duration::from_millis(deployment.first_token_ms);
        let between = Duration::from_millis(deployment.between_tokens_ms);
        let good = |call: &&CallRecord| call.is_good(first, between);
        let counts = |call: &&CallRecord| !call.leaves && call.at >= facts.warm_up;
        let stayed: Vec<&CallRecord> = tally.calls.iter().filter(counts).collect();
        let share = |wanted: &dyn Fn(&CallRecord) -> bool| {
            let all = stayed.iter().filter(|call| wanted(call)).count();
            let met = stayed.iter().copied().filter(|c| wanted(c)).filter(good).count();
            met as f64 / all.max(1) as f64
        };
        let work = |calls: &mut dyn Iterator<Item = &CallRecord>| {
            calls.map(|call| f64::from(call.tokens)).sum::<f64>()
        };
        let offered_work = work(&mut stayed.iter().copied());
        let good_work = work(&mut stayed.iter().copied().filter(good));
        let mut firsts: Vec<Duration> = stayed.iter().filter_map(|call| call.first_token).collect();
        let mut gaps: Vec<Duration> = stayed.iter().filter_map(|call| call.gap_p95).collect();
        let whole = stayed.iter().filter(|call| call.result == CallResult::Complete);
        let late = whole.filter(|call| call.first_token.is_some_and(|time| time > first)).count();
        let goods = stayed.iter().copied().filter(good).count();
        let (prefills, decodes) = deployment.pools();
        let sent = (facts.warm_up + facts.length).as_micros() as f64;
        let prefill_micros: f64 = stats.prefills.iter().map(|(_, micros)| *micros as f64).sum();
        let seconds = facts.length.as_secs_f64();
        let count =
            |result: CallResult| tally.calls.iter().filter(|c| c.result == result).count() as u64;
        Self {
            policy: facts.policy.clone(),
            deployment: format!("{:?}", deployment.kind).to_lowercase(),
            load: facts.load,
            seed: facts.seed,
            fault: facts.fault.clone(),
            offered: stayed.len() as f64 / seconds,
            capacity: facts.capacity,
            goodput: goods as f64 / seconds,
            goodput_share: share(&|_| true),
            goodput_long_share: share(&|call| call.long),
            goodput_short_share: share(&|call| !call.long),
            goodput_by_work: good_work / offered_work.max(1.0),
            late_share: late as f64 / stayed.len().max(1) as f64,
            ttft_p95_ms: percentile(&mut firsts, 0.95).as_secs_f64() * 1e3,
            tbt_p95_ms: percentile(&mut gaps, 0.95).as_secs_f64() * 1e3,
            wasted_prefill_share: wasted_share(tally, stats),
            prefill_use: prefill_micros / (f64::from(prefills) * sent),
            decode_use: stats.slot_micros as f64 / (f64::from(decodes) * 20.0 * sent),
            worst_to_best_organisation_wait: organisation_ratio(deployment, &stayed),
            recovery_s: facts.fault_at.and_then(|at| recovery(&stayed, at, first, between)),
            told_not_run: count(CallResult::NotRun),
            reasons: reasons(tally),
            told_unknown: count(CallResult::Unknown),
            broken: tally.broken,
            doubled: doubled(tally, stats),
            lost: lost(tally, facts.killed),
            false_not_run: false_not_run(tally, stats),
            leaked_slots: stats.held.values().map(|held| *held as u64).sum(),
            invariant_violations: facts.invariant_violations,
        }
    }
}

/// A request's last prefill is useful if its answer was whole; everything else is waste. Callers
/// who meant to leave are not counted, since no policy could have known.
fn wasted_share(tally: &LoadTally, stats: &StandinStats) -> f64 {
    let mut by_request: HashMap<&str, (u64, u64)> = HashMap::new();
    for (request, micros) in &stats.prefills {
        let entry = by_request.entry(request).or_default();
        entry.0 += micros;
        entry.1 = *micros;
    }
    let find = |wanted: &dyn Fn(&CallRecord) -> bool| -> Vec<&str> {
        let chosen = tally.calls.iter().filter(|call| wanted(call));
        chosen.filter_map(|call| call.request.as_deref()).collect()
    };
    for left in find(&|call| call.leaves) {
        by_request.remove(left);
    }
    let useful: u64 = find(&|call| call.result == CallResult::Complete && !call.leaves)
        .into_iter()
        .filter_map(|request| by_request.get(request).map(|work| work.1))
        .sum();
    let all: u64 = by_request.values().map(|work| work.0).sum();
    1.0 - useful as f64 / all.max(1) as f64
}

fn organisation_ratio(deployment: &Deployment, calls: &[&CallRecord]) -> f64 {
    let waits: Vec<f64> = deployment
        .organisations
        .iter()
        .map(|org| {
            let own = calls.iter().filter(|call| call.organisation == *org);
            let mut times: Vec<Duration> = own.filter_map(|call| call.first_token).collect();
            percentile(&mut times, 0.95).as_secs_f64()
        })
        .collect();
    let best = waits.iter().copied().fold(f64::INFINITY, f64::min);
    waits.iter().copied().fold(0.0, f64::max) / best.max(1e-6)
}

/// Seconds after the fault until the end of the last window of two seconds that held less than nine
/// tenths of the share before it; zero if none did.
fn recovery(
    calls: &[&CallRecord],
    fault_at: Duration,
    first: Duration,
    between: Duration,
) -> Option<f64> {
    let share_in = |from: Duration, to: Duration| {
        let inside: Vec<_> = calls.iter().filter(|c| c.at >= from && c.at < to).collect();
        let good = inside.iter().filter(|call| call.is_good(first, between)).count();
        (!inside.is_empty()).then(|| good as f64 / inside.len() as f64)
    };
    let before = share_in(fault_at.saturating_sub(Duration::from_secs(5)), fault_at)?;
    let window = Duration::from_secs(2);
    let step = Duration::from_millis(250);
    let mut low = (0..40)
        .map(|turn| fault_at + step * turn)
        .filter(|from| share_in(*from, *from + window).is_some_and(|share| share < 0.9 * before));
    Some(low.next_back().map_or(0.0, |from| (from + window - fault_at).as_secs_f64()))
}

fn doubled(tally: &LoadTally, stats: &StandinStats) -> u64 {
    let runs = stats.runs.values().filter(|count| **count > 1).count();
    let answers = tally.once_answers.iter().filter(|(_, count)| *count > 1).count();
    (runs + answers) as u64
}

fn lost(tally: &LoadTally, killed: bool) -> u64 {
    let wrong = |call: &&CallRecord| match &call.result {
        CallResult::Complete => !call.right,
        // What was written must be a prefix of the right answer in any case.
        CallResult::Broken(_) => !killed || !call.right,
        _ => !call.right,
    };
    let unsettled = if killed { 0 } else { tally.once_sent - tally.once_settled };
    tally.calls.iter().filter(wrong).count() as u64 + unsettled
}

fn reasons(tally: &LoadTally) -> BTreeMap<String, u64> {
    let mut reasons = BTreeMap::new();
    for call in tally.calls.iter().filter(|call| !call.reason.is_empty()) {
        *reasons.entry(call.reason.clone()).or_default() += 1;
    }
    reasons
}

/// Calls told "not run" that a service ran, and completions told so that an engine began.
fn false_not_run(tally: &LoadTally, stats: &StandinStats) -> u64 {
    let once = tally.once_not_run.iter().filter(|body| stats.runs.contains_key(*body)).count();
    let begun: HashSet<&str> = stats.prefills.iter().map(|(name, _)| name.as_str()).collect();
    let refused = tally.calls.iter().filter(|call| call.result == CallResult::NotRun);
    let ran = refused.filter(|c| c.request.as_deref().is_some_and(|name| begun.contains(name)));
    (once + ran.count()) as u64
}
