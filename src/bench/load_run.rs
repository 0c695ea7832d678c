use super::answer_oracle::{answer_tokens, prompt_hash};
use super::load_summary::RunFacts;
use super::load_tally::percentile;
use super::{
    BenchCaller, CallRecord, CallResult, Deployment, FaultKind, Fleet, FleetOptions, LoadMix,
    LoadSummary, LoadTally, MixedCall, MixedKind,
};
use crate::Result;
use crate::placement::PlacementPolicy;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Mean tokens of an answer; see [`super::answer_length`].
const MEAN_ANSWER: f64 = 80.0;
/// Calls of the first seconds fill the pools and are not counted.
const WARM_UP: Duration = Duration::from_secs(5);
const PATIENCE: Duration = Duration::from_secs(20);
const SETTLE_LIMIT: Duration = Duration::from_secs(12);
const FAULT_LENGTH: Duration = Duration::from_secs(6);
const BALANCER_TRIES: usize = 3;

/// A fault in the middle of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BenchFault {
    /// No fault.
    None,
    /// One decode engine freezes for six seconds.
    EngineFrozen,
    /// One host's process is killed.
    HostKilled,
    /// Transfers into one decode engine stall for six seconds.
    LinkStalled,
    /// The platform's store refuses everything for six seconds.
    StoreOut,
}

impl BenchFault {
    /// The name used on the command line.
    pub const fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::EngineFrozen => "engine-frozen",
            Self::HostKilled => "host-killed",
            Self::LinkStalled => "link-stalled",
            Self::StoreOut => "store-out",
        }
    }
}

impl std::str::FromStr for BenchFault {
    type Err = String;

    fn from_str(text: &str) -> std::result::Result<Self, Self::Err> {
        [Self::None, Self::EngineFrozen, Self::HostKilled, Self::LinkStalled, Self::StoreOut]
            .into_iter()
            .find(|fault| fault.name() == text)
            .ok_or_else(|| format!("unknown fault {text:?}"))
    }
}

/// What to run.
#[derive(Debug, Clone)]
pub struct LoadOptions {
    /// The deployment.
    pub deployment: Deployment,
    /// How the daemons place.
    pub policy: PlacementPolicy,
    /// Load as a part of the pools' capacity.
    pub load: f64,
    /// Seed of the mix.
    pub seed: u64,
    /// The fault, which begins in the middle.
    pub fault: BenchFault,
    /// How long calls are sent.
    pub length: Duration,
    /// Folder of the programs.
    pub programs: PathBuf,
}

/// Starts a fleet, drives it with the mix, and sums the run up.
///
/// # Errors
/// If the fleet cannot be started.
pub fn run_load(options: &LoadOptions) -> Result<LoadSummary> {
    let mut fleet = Fleet::start_configured(FleetOptions {
        deployment: options.deployment.clone(),
        policy: options.policy,
        programs: options.programs.clone(),
        log_level: "info".to_owned(),
    })?;
    let capacity = options.deployment.capacity(MEAN_ANSWER);
    let mut mix = LoadMix::new(&options.deployment, capacity * options.load, options.seed);
    let calls: Vec<MixedCall> = std::iter::repeat_with(|| mix.next_call())
        .take_while(|call| call.at < options.length + WARM_UP)
        .collect();
    let hosts: Vec<SocketAddr> = fleet.hosts.iter().map(|host| host.callers).collect();
    let tally = Arc::new(Mutex::new(LoadTally::default()));
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    let sending = send_all(options.deployment.clone(), hosts, calls, Arc::clone(&tally));
    let sender = runtime.spawn(sending);
    let fault_at = work_fault(&mut fleet, options)?;
    runtime.block_on(async {
        let _ = sender.await;
    });
    settle(&fleet);
    let stats = fleet.stats()?;
    let facts = RunFacts {
        policy: options.policy.name().to_owned(),
        load: options.load,
        seed: options.seed,
        fault: options.fault.name().to_owned(),
        fault_at,
        capacity,
        warm_up: WARM_UP,
        length: options.length,
        killed: options.fault == BenchFault::HostKilled,
        invariant_violations: violations(&fleet),
    };
    let tally = tally.lock().unwrap_or_else(PoisonError::into_inner);
    Ok(LoadSummary::new(&options.deployment, &facts, &tally, &stats))
}

fn work_fault(fleet: &mut Fleet, options: &LoadOptions) -> Result<Option<Duration>> {
    if options.fault == BenchFault::None {
        return Ok(None);
    }
    let began = Instant::now();
    std::thread::sleep(WARM_UP + options.length / 2);
    let fault_at = began.elapsed();
    let (_, domain) = &options.deployment.hosts()[0];
    let engine = format!("{domain}-decode-1");
    let (target, kind) = match options.fault {
        BenchFault::HostKilled => {
            fleet.kill(0);
            return Ok(Some(fault_at));
        }
        BenchFault::EngineFrozen => (engine.as_str(), FaultKind::Freeze),
        BenchFault::LinkStalled => (engine.as_str(), FaultKind::LinkStall),
        BenchFault::StoreOut | BenchFault::None => ("platform", FaultKind::Outage),
    };
    fleet.fault(target, kind, true)?;
    std::thread::sleep(FAULT_LENGTH);
    fleet.fault(target, kind, false)?;
    Ok(Some(fault_at))
}

/// Waits until the engines hold nothing, or long enough to call it a leak.
fn settle(fleet: &Fleet) {
    let began = Instant::now();
    while began.elapsed() < SETTLE_LIMIT {
        if fleet.stats().is_ok_and(|stats| stats.held.values().all(|held| *held == 0)) {
            return;
        }
        std::thread::sleep(Duration::from_millis(200));
    }
}

fn violations(fleet: &Fleet) -> u64 {
    let statuses = fleet.running().into_iter().filter_map(|host| fleet.status(host).ok());
    statuses.map(|status| status.invariant_violations).sum()
}

async fn send_all(
    deployment: Deployment,
    hosts: Vec<SocketAddr>,
    calls: Vec<MixedCall>,
    tally: Arc<Mutex<LoadTally>>,
) {
    let caller = BenchCaller::new(&deployment);
    let began = Instant::now();
    let mut running = tokio::task::JoinSet::new();
    for (turn, call) in calls.into_iter().enumerate() {
        tokio::time::sleep_until((began + call.at).into()).await;
        // The platform's balancer: hosts in turn, another one if a connection is refused.
        let order: Vec<SocketAddr> =
            (0..hosts.len()).map(|step| hosts[(turn + step) % hosts.len()]).collect();
        let (caller, tally) = (caller.clone(), Arc::clone(&tally));
        running.spawn(async move { send_one(caller, order, call, tally).await });
    }
    while running.join_next().await.is_some() {}
}

async fn send_one(
    caller: BenchCaller,
    hosts: Vec<SocketAddr>,
    call: MixedCall,
    tally: Arc<Mutex<LoadTally>>,
) {
    match call.kind {
        MixedKind::Completion { prompt, tokens, long, leave_after } => {
            let mut seen = None;
            for host in hosts.iter().take(BALANCER_TRIES) {
                let got =
                    caller.complete(*host, call.organisation, &prompt, PATIENCE, leave_after).await;
                let refused = got.status == 0 && matches!(got.result, CallResult::Broken(_));
                let again = refused && got.tokens.is_empty() && is_refused(&got.result);
                seen = Some(got);
                if !again {
                    break;
                }
            }
            let Some(mut seen) = seen else { return };
            let expected = answer_tokens(prompt_hash(&prompt), 160);
            let right = if seen.result == CallResult::Complete {
                seen.tokens == expected
            } else {
                expected.starts_with(&seen.tokens)
            };
            let gap_p95 =
                (!seen.token_gaps.is_empty()).then(|| percentile(&mut seen.token_gaps, 0.95));
            let mut tally = tally.lock().unwrap_or_else(PoisonError::into_inner);
            tally.broken += u64::from(matches!(seen.result, CallResult::Broken(_)));
            tally.calls.push(CallRecord {
                at: call.at,
                organisation: call.organisation,
                long,
                tokens,
                leaves: leave_after.is_some(),
                result: seen.result,
                right,
                request: seen.request,
                first_token: seen.first_token,
                gap_p95,
                reason: seen.reason,
            });
        }
        MixedKind::Once { body, twice } => {
            send_once(caller, &hosts, call.organisation, body, twice, tally).await;
        }
    }
}

fn is_refused(result: &CallResult) -> bool {
    matches!(result, CallResult::Broken(text) if text.contains("refused"))
}

async fn send_once(
    caller: BenchCaller,
    hosts: &[SocketAddr],
    organisation: &'static str,
    body: String,
    twice: bool,
    tally: Arc<Mutex<LoadTally>>,
) {
    let header = ("idempotency-key", body.as_str());
    let first = caller.call_once(hosts[0], organisation, header, &body, PATIENCE);
    let results = if twice {
        let second = caller.call_once(hosts[1], organisation, header, &body, PATIENCE);
        let (first, second) = tokio::join!(first, second);
        vec![first.0, second.0]
    } else {
        vec![first.await.0]
    };
    let answers = results.iter().filter(|result| **result == CallResult::Complete).count();
    let broken = results.iter().filter(|r| matches!(r, CallResult::Broken(_))).count();
    let mut tally = tally.lock().unwrap_or_else(PoisonError::into_inner);
    tally.once_sent += 1;
    tally.once_settled += u64::from(broken < results.len());
    tally.broken += broken as u64;
    tally.once_answers.push((body.clone(), answers as u32));
    // A crossed pair of repeats: "not run" speaks for the request only if nobody got an answer.
    if results.contains(&CallResult::NotRun) {
        tally.once_not_run.push(body);
    }
}
