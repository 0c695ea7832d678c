use super::answer_oracle::{answer_tokens, prompt_hash};
use super::load_summary::RunFacts;
use super::load_tally::percentile;
use super::{
    BenchCaller, CallKind, CallRecord, CallResult, Deployment, FaultKind, Fleet, FleetOptions,
    LoadCall, LoadMix, LoadSummary, LoadTally,
};
use crate::Result;
use crate::placement::PlacementPolicy;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Mean length of an answer in tokens; see [`super::answer_length`].
const MEAN_ANSWER_TOKENS: f64 = 80.0;
/// Calls of the first seconds fill the pools and are not counted in the results.
const WARM_UP: Duration = Duration::from_secs(5);
const CALL_TIMEOUT: Duration = Duration::from_secs(20);
const SETTLE_TIMEOUT: Duration = Duration::from_secs(12);
const FAULT_DURATION: Duration = Duration::from_secs(6);
const MAX_CONNECT_ATTEMPTS: usize = 3;

/// A fault that is injected in the middle of a run.
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

/// Options of a load run.
#[derive(Debug, Clone)]
pub struct LoadOptions {
    /// The deployment.
    pub deployment: Deployment,
    /// Placement policy of the daemons.
    pub policy: PlacementPolicy,
    /// Load as a fraction of the pools' capacity.
    pub load: f64,
    /// Seed of the load mix.
    pub seed: u64,
    /// The fault, which starts in the middle of the run.
    pub fault: BenchFault,
    /// Time for which calls are sent, after the warm-up.
    pub length: Duration,
    /// Folder that holds the built programs.
    pub programs: PathBuf,
}

/// Starts a fleet, sends it the calls of a load mix, and returns a summary of the run.
///
/// # Errors
/// If the fleet cannot be started, a fault cannot be switched or the stand-ins' counters cannot be read.
pub fn run_load(options: &LoadOptions) -> Result<LoadSummary> {
    let mut fleet = Fleet::start_configured(FleetOptions {
        deployment: options.deployment.clone(),
        policy: options.policy,
        programs: options.programs.clone(),
        log_level: "info".to_owned(),
    })?;
    let capacity = options.deployment.capacity(MEAN_ANSWER_TOKENS);
    let mut mix = LoadMix::new(&options.deployment, capacity * options.load, options.seed);
    let calls: Vec<LoadCall> = std::iter::repeat_with(|| mix.next_call())
        .take_while(|call| call.at < options.length + WARM_UP)
        .collect();
    let hosts: Vec<SocketAddr> = fleet.hosts.iter().map(|host| host.callers).collect();
    let tally = Arc::new(Mutex::new(LoadTally::default()));
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    let sends = send_calls(options.deployment.clone(), hosts, calls, Arc::clone(&tally));
    let send_task = runtime.spawn(sends);
    let fault_at = inject_fault(&mut fleet, options)?;
    runtime.block_on(async {
        let _ = send_task.await;
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
        host_killed: options.fault == BenchFault::HostKilled,
        invariant_violations: invariant_violations(&fleet),
    };
    let tally = tally.lock().unwrap_or_else(PoisonError::into_inner);
    Ok(LoadSummary::new(&options.deployment, &facts, &tally, &stats))
}

fn inject_fault(fleet: &mut Fleet, options: &LoadOptions) -> Result<Option<Duration>> {
    if options.fault == BenchFault::None {
        return Ok(None);
    }
    let started_at = Instant::now();
    std::thread::sleep(WARM_UP + options.length / 2);
    let fault_at = started_at.elapsed();
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
    std::thread::sleep(FAULT_DURATION);
    fleet.fault(target, kind, false)?;
    Ok(Some(fault_at))
}

/// Waits until the engines hold no attempts. Attempts held after `SETTLE_TIMEOUT` are counted as leaks.
fn settle(fleet: &Fleet) {
    let started_at = Instant::now();
    while started_at.elapsed() < SETTLE_TIMEOUT {
        if fleet.stats().is_ok_and(|stats| stats.held.values().all(|held| *held == 0)) {
            return;
        }
        std::thread::sleep(Duration::from_millis(200));
    }
}

fn invariant_violations(fleet: &Fleet) -> u64 {
    let statuses = fleet.running().into_iter().filter_map(|host| fleet.status(host).ok());
    statuses.map(|status| status.invariant_violations).sum()
}

async fn send_calls(
    deployment: Deployment,
    hosts: Vec<SocketAddr>,
    calls: Vec<LoadCall>,
    tally: Arc<Mutex<LoadTally>>,
) {
    let caller = BenchCaller::new(&deployment);
    let started_at = Instant::now();
    let mut running = tokio::task::JoinSet::new();
    for (index, call) in calls.into_iter().enumerate() {
        tokio::time::sleep_until((started_at + call.at).into()).await;
        // Behaves like the platform's load balancer: round robin over the hosts, and the next host if a
        // connection is refused.
        let host_order: Vec<SocketAddr> =
            (0..hosts.len()).map(|offset| hosts[(index + offset) % hosts.len()]).collect();
        let (caller, tally) = (caller.clone(), Arc::clone(&tally));
        running.spawn(async move { send_call(caller, host_order, call, tally).await });
    }
    while running.join_next().await.is_some() {}
}

async fn send_call(
    caller: BenchCaller,
    hosts: Vec<SocketAddr>,
    call: LoadCall,
    tally: Arc<Mutex<LoadTally>>,
) {
    match call.kind {
        CallKind::Completion { prompt, tokens, long, disconnect_after } => {
            let mut completion = None;
            for host in hosts.iter().take(MAX_CONNECT_ATTEMPTS) {
                let got = caller
                    .complete(*host, call.organisation, &prompt, CALL_TIMEOUT, disconnect_after)
                    .await;
                let refused = got.status == 0 && matches!(got.result, CallResult::Broken(_));
                let should_retry = refused && got.tokens.is_empty() && is_refused(&got.result);
                completion = Some(got);
                if !should_retry {
                    break;
                }
            }
            let Some(mut completion) = completion else { return };
            let expected = answer_tokens(prompt_hash(&prompt), 160);
            let is_correct = if completion.result == CallResult::Complete {
                completion.tokens == expected
            } else {
                expected.starts_with(&completion.tokens)
            };
            let gap_p95 = (!completion.token_gaps.is_empty())
                .then(|| percentile(&mut completion.token_gaps, 0.95));
            let mut tally = tally.lock().unwrap_or_else(PoisonError::into_inner);
            tally.broken += u64::from(matches!(completion.result, CallResult::Broken(_)));
            tally.calls.push(CallRecord {
                at: call.at,
                organisation: call.organisation,
                long,
                tokens,
                disconnects: disconnect_after.is_some(),
                result: completion.result,
                is_correct,
                request_id: completion.request_id,
                first_token: completion.first_token,
                gap_p95,
                reason: completion.reason,
            });
        }
        CallKind::Once { body, is_duplicated } => {
            send_once_call(caller, &hosts, call.organisation, body, is_duplicated, tally).await;
        }
    }
}

fn is_refused(result: &CallResult) -> bool {
    matches!(result, CallResult::Broken(text) if text.contains("refused"))
}

async fn send_once_call(
    caller: BenchCaller,
    hosts: &[SocketAddr],
    organisation: &'static str,
    body: String,
    is_duplicated: bool,
    tally: Arc<Mutex<LoadTally>>,
) {
    let header = ("idempotency-key", body.as_str());
    let first = caller.call_once(hosts[0], organisation, header, &body, CALL_TIMEOUT);
    let results = if is_duplicated {
        let second = caller.call_once(hosts[1], organisation, header, &body, CALL_TIMEOUT);
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
    // One "not run" is enough, even if the duplicate of the call got an answer.
    if results.contains(&CallResult::NotRun) {
        tally.once_not_run.push(body);
    }
}
