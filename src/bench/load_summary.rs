use super::load_tally::percentile;
use super::{CallRecord, CallResult, Deployment, LoadTally, StandinStats};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

/// Summary of a run, which the load generator prints as its last line.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LoadSummary {
    /// Placement policy.
    pub policy: String,
    /// The deployment.
    pub deployment: String,
    /// Load as a fraction of the pools' capacity.
    pub load: f64,
    /// Seed of the load mix.
    pub seed: u64,
    /// Name of the injected fault, or `none`.
    pub fault: String,
    /// Completions sent per second.
    pub offered: f64,
    /// The pools' capacity in requests per second.
    pub capacity: f64,
    /// Completions per second that met both targets.
    pub goodput: f64,
    /// Completions that met both targets, as a share of those offered.
    pub goodput_share: f64,
    /// The same share, of completions whose prefill takes more than half a second.
    pub goodput_long_share: f64,
    /// The same share, of the shorter completions.
    pub goodput_short_share: f64,
    /// Prompt tokens of the completions that met both targets, as a share of those offered.
    pub goodput_by_work: f64,
    /// Complete answers whose first token missed its target, as a share of those offered.
    pub late_share: f64,
    /// 95th percentile of the time to the first token, of completions that received one.
    pub ttft_p95_ms: f64,
    /// 95th percentile, over the completions, of each one's 95th percentile of the time between tokens.
    pub tbt_p95_ms: f64,
    /// Prefill work that did not lead to a complete answer, as a share of all prefill work.
    pub wasted_prefill_share: f64,
    /// Busy time of the prefill pool over the time in which calls were sent.
    pub prefill_use: f64,
    /// The same for the slots of the decode pool.
    pub decode_use: f64,
    /// 95th percentile of the time to the first token of the organisation that waits longest, divided by
    /// that of the one that waits least.
    pub worst_to_best_organisation_wait: f64,
    /// Seconds from the fault until the goodput share stayed above nine tenths of its value before.
    pub recovery_s: Option<f64>,
    /// Completions whose error reply said "not run".
    pub told_not_run: u64,
    /// How often each reason was given in an error reply.
    pub reasons: BTreeMap<String, u64>,
    /// Completions whose error reply said "unknown".
    pub told_unknown: u64,
    /// Connections that broke without a final answer (those of a killed host's callers).
    pub broken: u64,
    /// At-most-once calls that ran twice, plus those whose answer two connections received.
    pub doubled: u64,
    /// Requests that received a wrong answer, a truncated one that was marked complete, or no final
    /// answer although no host was killed.
    pub lost: u64,
    /// Requests that ran although an error reply said "not run".
    pub false_not_run: u64,
    /// Attempts that the engines still held after the run.
    pub leaked_slots: u64,
    /// Invariant violations reported by the daemons.
    pub invariant_violations: u64,
}

/// Options and circumstances of the run that the summary needs.
#[derive(Debug, Clone)]
pub struct RunFacts {
    pub policy: String,
    pub load: f64,
    pub seed: u64,
    pub fault: String,
    pub fault_at: Option<Duration>,
    pub capacity: f64,
    /// Calls sent earlier than this are not counted in shares and times.
    pub warm_up: Duration,
    pub length: Duration,
    /// Whether a host was killed, which explains broken connections.
    pub host_killed: bool,
    pub invariant_violations: u64,
}

impl LoadSummary {
    /// Computes the summary of a run.
    pub fn new(
        deployment: &Deployment,
        facts: &RunFacts,
        tally: &LoadTally,
        stats: &StandinStats,
    ) -> Self {
        let first_token_target = Duration::from_millis(deployment.first_token_ms);
        let token_gap_target = Duration::from_millis(deployment.between_tokens_ms);
        let is_good = |call: &&CallRecord| call.is_good(first_token_target, token_gap_target);
        let is_counted = |call: &&CallRecord| !call.disconnects && call.at >= facts.warm_up;
        let counted: Vec<&CallRecord> = tally.calls.iter().filter(is_counted).collect();
        let share = |predicate: &dyn Fn(&CallRecord) -> bool| {
            let all = counted.iter().filter(|call| predicate(call)).count();
            let met = counted.iter().copied().filter(|c| predicate(c)).filter(is_good).count();
            met as f64 / all.max(1) as f64
        };
        let prompt_tokens = |calls: &mut dyn Iterator<Item = &CallRecord>| {
            calls.map(|call| f64::from(call.tokens)).sum::<f64>()
        };
        let offered_work = prompt_tokens(&mut counted.iter().copied());
        let good_work = prompt_tokens(&mut counted.iter().copied().filter(is_good));
        let mut first_token_times: Vec<Duration> =
            counted.iter().filter_map(|call| call.first_token).collect();
        let mut gaps: Vec<Duration> = counted.iter().filter_map(|call| call.gap_p95).collect();
        let complete = counted.iter().filter(|call| call.result == CallResult::Complete);
        let late = complete
            .filter(|call| call.first_token.is_some_and(|time| time > first_token_target))
            .count();
        let good_count = counted.iter().copied().filter(is_good).count();
        let (prefills, decodes) = deployment.pools();
        let sent_micros = (facts.warm_up + facts.length).as_micros() as f64;
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
            offered: counted.len() as f64 / seconds,
            capacity: facts.capacity,
            goodput: good_count as f64 / seconds,
            goodput_share: share(&|_| true),
            goodput_long_share: share(&|call| call.long),
            goodput_short_share: share(&|call| !call.long),
            goodput_by_work: good_work / offered_work.max(1.0),
            late_share: late as f64 / counted.len().max(1) as f64,
            ttft_p95_ms: percentile(&mut first_token_times, 0.95).as_secs_f64() * 1e3,
            tbt_p95_ms: percentile(&mut gaps, 0.95).as_secs_f64() * 1e3,
            wasted_prefill_share: wasted_share(tally, stats),
            prefill_use: prefill_micros / (f64::from(prefills) * sent_micros),
            decode_use: stats.slot_micros as f64 / (f64::from(decodes) * 20.0 * sent_micros),
            worst_to_best_organisation_wait: organisation_ratio(deployment, &counted),
            recovery_s: facts
                .fault_at
                .and_then(|at| recovery(&counted, at, first_token_target, token_gap_target)),
            told_not_run: count(CallResult::NotRun),
            reasons: reasons(tally),
            told_unknown: count(CallResult::Unknown),
            broken: tally.broken,
            doubled: doubled_calls(tally, stats),
            lost: lost_requests(tally, facts.host_killed),
            false_not_run: false_not_run(tally, stats),
            leaked_slots: stats.held.values().map(|held| *held as u64).sum(),
            invariant_violations: facts.invariant_violations,
        }
    }
}

/// Share of the prefill work that was wasted. Only the last prefill of a request with a complete answer
/// is useful. Requests whose callers disconnect on purpose are left out, since no policy can foresee it.
fn wasted_share(tally: &LoadTally, stats: &StandinStats) -> f64 {
    let mut by_request: HashMap<&str, (u64, u64)> = HashMap::new();
    for (request, micros) in &stats.prefills {
        let entry = by_request.entry(request).or_default();
        entry.0 += micros;
        entry.1 = *micros;
    }
    let request_ids = |predicate: &dyn Fn(&CallRecord) -> bool| -> Vec<&str> {
        let chosen = tally.calls.iter().filter(|call| predicate(call));
        chosen.filter_map(|call| call.request_id.as_deref()).collect()
    };
    for request in request_ids(&|call| call.disconnects) {
        by_request.remove(request);
    }
    let useful: u64 = request_ids(&|call| call.result == CallResult::Complete && !call.disconnects)
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

/// Seconds from the fault to the end of the last two-second window whose goodput share was below nine
/// tenths of the share before the fault; zero if there is no such window.
fn recovery(
    calls: &[&CallRecord],
    fault_at: Duration,
    first_token_target: Duration,
    token_gap_target: Duration,
) -> Option<f64> {
    let share_in = |from: Duration, to: Duration| {
        let inside: Vec<_> = calls.iter().filter(|c| c.at >= from && c.at < to).collect();
        let good_count =
            inside.iter().filter(|call| call.is_good(first_token_target, token_gap_target)).count();
        (!inside.is_empty()).then(|| good_count as f64 / inside.len() as f64)
    };
    let before = share_in(fault_at.saturating_sub(Duration::from_secs(5)), fault_at)?;
    let window = Duration::from_secs(2);
    let step = Duration::from_millis(250);
    let mut degraded = (0..40)
        .map(|step_index| fault_at + step * step_index)
        .filter(|from| share_in(*from, *from + window).is_some_and(|share| share < 0.9 * before));
    Some(degraded.next_back().map_or(0.0, |from| (from + window - fault_at).as_secs_f64()))
}

fn doubled_calls(tally: &LoadTally, stats: &StandinStats) -> u64 {
    let runs = stats.runs.values().filter(|count| **count > 1).count();
    let answers = tally.once_answers.iter().filter(|(_, count)| *count > 1).count();
    (runs + answers) as u64
}

fn lost_requests(tally: &LoadTally, host_killed: bool) -> u64 {
    let wrong = |call: &&CallRecord| match &call.result {
        CallResult::Complete => !call.is_correct,
        // What was received must be a prefix of the correct answer in any case.
        CallResult::Broken(_) => !host_killed || !call.is_correct,
        _ => !call.is_correct,
    };
    let unsettled = if host_killed { 0 } else { tally.once_sent - tally.once_settled };
    tally.calls.iter().filter(wrong).count() as u64 + unsettled
}

fn reasons(tally: &LoadTally) -> BTreeMap<String, u64> {
    let mut reasons = BTreeMap::new();
    for call in tally.calls.iter().filter(|call| !call.reason.is_empty()) {
        *reasons.entry(call.reason.clone()).or_default() += 1;
    }
    reasons
}

/// Calls that a service ran, and completions that an engine started to prefill, although an error
/// reply said "not run".
fn false_not_run(tally: &LoadTally, stats: &StandinStats) -> u64 {
    let once = tally.once_not_run.iter().filter(|body| stats.runs.contains_key(*body)).count();
    let prefilled: HashSet<&str> =
        stats.prefills.iter().map(|(request, _)| request.as_str()).collect();
    let refused = tally.calls.iter().filter(|call| call.result == CallResult::NotRun);
    let ran = refused
        .filter(|c| c.request_id.as_deref().is_some_and(|request| prefilled.contains(request)));
    (once + ran.count()) as u64
}
