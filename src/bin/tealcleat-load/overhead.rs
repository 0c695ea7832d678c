//! Measures what the daemon adds to a stream over a direct call to the stand-ins.

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
const SPACING: Duration = Duration::from_millis(12);
const PATIENCE: Duration = Duration::from_secs(60);
const ROUNDS: usize = 3;

/// Times of many streams.
#[derive(Debug, Default)]
struct StreamTimes {
    firsts: Vec<Duration>,
    gaps: Vec<Duration>,
    failed: usize,
}

/// Streams `streams` prompts at once, directly and through the daemons in turn.
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
        let stream = |turn: usize| call_directly(Arc::clone(&addresses), round, turn);
        runtime.block_on(run_all(streams, &mut direct, stream));
        let stream = |turn: usize| {
            let (caller, host) = (caller.clone(), hosts[turn % hosts.len()]);
            call_routed(caller, host, round, turn)
        };
        runtime.block_on(run_all(streams, &mut routed, stream));
    }
    println!(
        "streams={streams} rounds={ROUNDS} failed_direct={} failed_routed={}",
        direct.failed, routed.failed
    );
    print_added("first_token", &mut direct.firsts, &mut routed.firsts);
    print_added("between_tokens", &mut direct.gaps, &mut routed.gaps);
    Ok(direct.failed + routed.failed == 0)
}

async fn run_all<F>(streams: usize, times: &mut StreamTimes, call: impl Fn(usize) -> F)
where
    F: Future<Output = Result<(Duration, Vec<Duration>)>> + Send + 'static,
{
    let mut running = tokio::task::JoinSet::new();
    for turn in 0..streams {
        running.spawn(call(turn));
        tokio::time::sleep(SPACING).await;
    }
    while let Some(joined) = running.join_next().await {
        match joined {
            Ok(Ok((first, gaps))) => {
                times.firsts.push(first);
                times.gaps.extend(gaps);
            }
            _ => times.failed += 1,
        }
    }
}

fn prompt(round: usize, turn: usize) -> String {
    // The same prompts both ways, so that the answers are as long.
    format!("overhead stream {turn} of round {round} with a few more words")
}

async fn call_routed(
    caller: BenchCaller,
    host: SocketAddr,
    round: usize,
    turn: usize,
) -> Result<(Duration, Vec<Duration>)> {
    let seen = caller.complete(host, "hanbit", &prompt(round, turn), PATIENCE, None).await;
    match (seen.result, seen.first_token) {
        (CallResult::Whole, Some(first)) => Ok((first, seen.gaps)),
        (other, _) => Err(Error::Refused(format!("{other:?} {}", seen.reason))),
    }
}

async fn call_directly(
    addresses: Arc<StandinAddresses>,
    round: usize,
    turn: usize,
) -> Result<(Duration, Vec<Duration>)> {
    let place = turn % ENGINES as usize + 1;
    let prefill = addresses.engines[&format!("d0-prefill-{place}")];
    let decode = addresses.engines[&format!("d0-decode-{place}")];
    // A client of its own: a new connection each, as the routed callers make.
    let client = EngineClient::default();
    let attempt = format!("direct-{round}-{turn}");
    let began = Instant::now();
    let call = PrefillCall {
        attempt: attempt.clone(),
        request: attempt.clone(),
        model: "inkmind".to_owned(),
        adapter: None,
        prompt: prompt(round, turn),
        generated: Vec::new(),
    };
    let done = client.prefill(prefill, &call).await?;
    let call = DecodeCall {
        attempt: attempt.clone(),
        request: attempt,
        source: prefill,
        handle: done.handle,
        next_index: 0,
        max_tokens: 160,
    };
    let mut lines = client.decode(decode, &call).await?;
    let (mut first, mut gaps, mut last) = (None, Vec::new(), began);
    while let Some(event) = lines.next().await? {
        match event {
            StreamEvent::Imported | StreamEvent::Done { .. } => {}
            StreamEvent::Failed { reason } => return Err(Error::Refused(reason)),
            StreamEvent::Token { .. } => {
                let now = Instant::now();
                match first {
                    None => first = Some(now - began),
                    Some(_) => gaps.push(now - last),
                }
                last = now;
            }
        }
    }
    first.map(|first| (first, gaps)).ok_or(Error::Timeout)
}

fn print_added(what: &str, direct: &mut [Duration], routed: &mut [Duration]) {
    direct.sort_unstable();
    routed.sort_unstable();
    for part in [0.5, 0.9, 0.99] {
        let at = |times: &[Duration]| {
            let place = (times.len() as f64 * part) as usize;
            times
                .get(place.min(times.len().saturating_sub(1)))
                .map_or(0.0, |t| t.as_secs_f64() * 1e3)
        };
        let (plain, through) = (at(direct), at(routed));
        println!(
            "{what} p{:.0}: direct {plain:.3} ms, routed {through:.3} ms, added {:.3} ms, ratio {:.3}",
            part * 100.0,
            through - plain,
            through / plain.max(1e-9)
        );
    }
}
