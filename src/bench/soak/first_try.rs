//! Callers that try once, each over a connection of its own.

use super::soak_caller::soak_call;
use super::soak_check::{SoakRecord, SoakRoute, SoakViolation, check_reply};
use crate::bench::site::{SiteCall, SiteConnection};
use rand::Rng;
use rand::rngs::StdRng;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

/// A caller gives up an answer in which nothing arrives for this long: hosts that are paused answer nothing.
const ANSWER_GAP: Duration = Duration::from_millis(2000);
const TOKENS_HEADER: &str = "x-token-count";
/// Fraction of the new connections that go to the one host of a herd.
const HERD_FRACTION: f64 = 0.9;

/// One first try.
#[derive(Debug)]
pub(super) struct FirstTry {
    pub sent_at: Instant,
    /// When its answer ended, or its caller left.
    pub ended_at: Instant,
    pub record: SoakRecord,
    pub violation: Option<SoakViolation>,
}

/// How new connections are opened.
#[derive(Debug, Clone, Copy)]
pub(super) struct TryPlan {
    /// For how long.
    pub time: Duration,
    /// Pause between two of them.
    pub pause: Duration,
    /// The host to which most of them go; `None` spreads them evenly.
    pub target: Option<usize>,
    /// The counts of tokens that the requests state; `None` for few.
    pub tokens: Option<&'static str>,
}

/// Opens a connection for each request: evenly to all hosts, or most of them to one.
pub(super) async fn open_connections(
    name: &str,
    hosts: &[SocketAddr],
    plan: TryPlan,
    random: &mut StdRng,
) -> Vec<FirstTry> {
    let deadline = Instant::now() + plan.time;
    let mut tries = JoinSet::new();
    for index in 0.. {
        if Instant::now() >= deadline {
            break;
        }
        let drawn = random.random_range(0..hosts.len());
        let herded = plan.target.filter(|_| random.random_bool(HERD_FRACTION));
        let host = hosts[herded.unwrap_or(drawn)];
        let route = SoakRoute::ALL[index % SoakRoute::ALL.len()];
        let id = format!("{name}-{index}");
        let mut call = soak_call(route, &id);
        if let Some(tokens) = plan.tokens {
            call.headers.retain(|(name, _)| *name != TOKENS_HEADER);
            call.headers.push((TOKENS_HEADER, tokens.to_owned()));
        }
        tries.spawn(try_once(host, route, call));
        sleep(plan.pause).await;
    }
    let mut tries = tries.join_all().await;
    tries.sort_by_key(|first_try| first_try.sent_at);
    tries
}

async fn try_once(host: SocketAddr, route: SoakRoute, call: SiteCall) -> FirstTry {
    let sent_at = Instant::now();
    let reply = match timeout(ANSWER_GAP, SiteConnection::open(host)).await {
        Ok(Ok(mut connection)) => connection.call_within(&call, ANSWER_GAP).await.ok(),
        Ok(Err(_)) | Err(_) => None,
    };
    let ended_at = Instant::now();
    let id = call.id;
    let violation = reply.as_ref().and_then(|reply| check_reply(route, &id, reply));
    let whole = reply.filter(|reply| reply.complete || !reply.status.is_success());
    let status = whole.map(|reply| reply.status.as_u16());
    let record = SoakRecord { status, asked_at: sent_at.into_std(), ..SoakRecord::new(id, route) };
    FirstTry { sent_at, ended_at, record, violation }
}
