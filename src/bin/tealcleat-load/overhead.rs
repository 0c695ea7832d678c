//! Measures the latency that the daemon adds to a stream, compared with a direct call to the stand-ins.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tealcleat::bench::{
    BenchCaller, CallResult, Deployment, Fleet, FleetOptions, StandinAddresses,
};
use tealcleat::engines::{DecodeCall, EngineClient, PrefillCall, StreamEvent};
use tealcleat::placement::PlacementPolicy;
use tealcleat::{Error, Result};

const ENGINES: u32 = 12;
const START_INTERVAL: Duration = Duration::from_millis(12);
const CALL_TIMEOUT: Duration = Duration::from_secs(60);
const ROUNDS: usize = 3;

/// Latencies of many streams.
#[derive(Debug, Default)]
struct StreamTimes {
    first_tokens: Vec<Duration>,
    gaps: Vec<Duration>,
    failed: usize,
}

/// Runs `streams` concurrent streams in each round, first directly and then through the daemons. Returns whether
/// none failed.
pub fn measure(programs: &Path, streams: usize) -> Result<bool> {
    let deployment = Deployment::sized(1, 2, ENGINES, ENGINES);
    let fleet = Fleet::start_configured(FleetOptions {
        deployment: deployment.clone(),
        policy: PlacementPolicy::Reserve,
        programs: programs.to_path_buf(),
        log_level: "warn".to_owned(),
    })?;
    let caller = BenchCaller::new(&deployment);
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(3).enable_all().build()?;
    let hosts: Vec<SocketAddr> = fleet.hosts.iter().map(|host| host.callers).collect();
    let addresses = Arc::new(fleet.addresses.clone());
    let (mut direct, mut routed) = (StreamTimes::default(), StreamTimes::default());
    for round in 0..ROUNDS {
        let call = |index: usize| call_directly(Arc::clone(&addresses), round, index);
        runtime.block_on(run_streams(streams, &mut direct, call));
        let call = |index: usize| {
            let (caller, host) = (caller.clone(), hosts[index % hosts.len()]);
            call_routed(caller, host, round, index)
        };
        runtime.block_on(run_streams(streams, &mut routed, call));
    }
    println!(
        "streams={streams} rounds={ROUNDS} failed_direct={} failed_routed={}",
        direct.failed, routed.failed
    );
    print_added("first_token", &mut direct.first_tokens, &mut routed.first_tokens);
    print_added("between_tokens", &mut direct.gaps, &mut routed.gaps);
    Ok(direct.failed + routed.failed == 0)
}

async fn run_streams<F>(streams: usize, times: &mut StreamTimes, call: impl Fn(usize) -> F)
where
    F: Future<Output = Result<(Duration, Vec<Duration>)>> + Send + 'static,
{
    let mut running = tokio::task::JoinSet::new();
    for index in 0..streams {
        running.spawn(call(index));
        tokio::time::sleep(START_INTERVAL).await;
    }
    while let Some(joined) = running.join_next().await {
        match joined {
            Ok(Ok((first, gaps))) => {
                times.first_tokens.push(first);
                times.gaps.extend(gaps);
            }
            _ => times.failed += 1,
        }
    }
}

fn prompt(round: usize, index: usize) -> String {
    // Direct and routed calls send the same prompts, so that their answers are equally long.
    format!("overhead stream {index} of round {round} with a few more words")
}

async fn call_routed(
    caller: BenchCaller,
    host: SocketAddr,
    round: usize,
    index: usize,
) -> Result<(Duration, Vec<Duration>)> {
    let completion =
        caller.complete(host, "hanbit", &prompt(round, index), CALL_TIMEOUT, None).await;
    match (completion.result, completion.first_token) {
        (CallResult::Complete, Some(first)) => Ok((first, completion.token_gaps)),
        (other, _) => Err(Error::Refused(format!("{other:?} {}", completion.reason))),
    }
}

async fn call_directly(
    addresses: Arc<StandinAddresses>,
    round: usize,
    index: usize,
) -> Result<(Duration, Vec<Duration>)> {
    let engine = index % ENGINES as usize + 1;
    let prefill = addresses.engines[&format!("d0-prefill-{engine}")];
    let decode = addresses.engines[&format!("d0-decode-{engine}")];
    // Each call has its own client and thus a new connection, as each routed caller has.
    let client = EngineClient::default();
    let attempt = format!("direct-{round}-{index}");
    let started_at = Instant::now();
    let call = PrefillCall {
        attempt: attempt.clone(),
        request: attempt.clone(),
        model: "inkmind".to_owned(),
        adapter: None,
        prompt: prompt(round, index),
        generated: Vec::new(),
    };
    let prefilled = client.prefill(prefill, &call).await?;
    let call = DecodeCall {
        attempt: attempt.clone(),
        request: attempt,
        source: prefill,
        handle: prefilled.handle,
        next_index: 0,
        max_tokens: 160,
    };
    let mut events = client.decode(decode, &call).await?;
    let (mut first_token, mut gaps, mut last_event_at) = (None, Vec::new(), started_at);
    while let Some(event) = events.next().await? {
        match event {
            StreamEvent::Imported | StreamEvent::Done { .. } => {}
            StreamEvent::Failed { reason } => return Err(Error::Refused(reason)),
            StreamEvent::Token { .. } => {
                let now = Instant::now();
                match first_token {
                    None => first_token = Some(now - started_at),
                    Some(_) => gaps.push(now - last_event_at),
                }
                last_event_at = now;
            }
        }
    }
    first_token.map(|first| (first, gaps)).ok_or(Error::Timeout)
}

fn print_added(metric: &str, direct: &mut [Duration], routed: &mut [Duration]) {
    direct.sort_unstable();
    routed.sort_unstable();
    for quantile in [0.5, 0.9, 0.99] {
        let percentile_ms = |times: &[Duration]| {
            let index = (times.len() as f64 * quantile) as usize;
            times
                .get(index.min(times.len().saturating_sub(1)))
                .map_or(0.0, |t| t.as_secs_f64() * 1e3)
        };
        let (direct_ms, routed_ms) = (percentile_ms(direct), percentile_ms(routed));
        println!(
            "{metric} p{:.0}: direct {direct_ms:.3} ms, routed {routed_ms:.3} ms, added {:.3} ms, ratio {:.3}",
            quantile * 100.0,
            routed_ms - direct_ms,
            routed_ms / direct_ms.max(1e-9)
        );
    }
}
