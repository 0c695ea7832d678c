use super::soak_check::{SoakRecord, SoakReport, SoakRoute, SoakViolation, check_reply};
use crate::bench::site::{CallerReply, SiteCall, SiteConnection};
use crate::host::lock;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Longest pause between two requests of a caller.
const MAX_PAUSE_MS: u64 = 30;
/// How long a caller waits for an answer. The daemons' own timeouts are shorter.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(25);

/// Probability that a request is one that crashes the servers that run it.
const CRASH_PROBABILITY: f64 = 0.02;
/// Separates the random draws of these requests from other draws of the same seed.
const CRASH_SALT: u64 = 0xc4a5_4e5d;
/// The requests that crash the servers that run them: their routes and bodies.
pub(super) const CRASH_REQUESTS: [(SoakRoute, &str); 3] =
    [(SoakRoute::Stream, "crash-1"), (SoakRoute::Resume, "crash-2"), (SoakRoute::Safe, "crash-3")];

/// The settings of one caller.
#[derive(Debug, Clone)]
pub(super) struct CallerPlan {
    pub seed: u64,
    pub name: String,
    pub sends_crashes: bool,
}

/// The results of all callers.
#[derive(Debug, Default)]
pub(super) struct CallerResults {
    pub records: Mutex<Vec<SoakRecord>>,
    pub report: Mutex<SoakReport>,
    /// Tells the callers to stop.
    pub is_stopped: AtomicBool,
}

/// Runs one caller. It reuses its connection until the daemon closes it.
pub(super) async fn run_caller(
    plan: CallerPlan,
    hosts: Arc<Vec<SocketAddr>>,
    results: Arc<CallerResults>,
) {
    let CallerPlan { seed, name, sends_crashes } = plan;
    let mut random = StdRng::seed_from_u64(seed);
    let mut crash_random = StdRng::seed_from_u64(seed ^ CRASH_SALT);
    let mut connection: Option<SiteConnection> = None;
    let mut serial = 0;
    while !results.is_stopped.load(Ordering::Relaxed) {
        let pause = random.random_range(0..MAX_PAUSE_MS);
        tokio::time::sleep(Duration::from_millis(pause)).await;
        let Some(mut current) = reconnect(connection.take(), &hosts, &mut random).await else {
            continue;
        };
        serial += 1;
        let route = SoakRoute::ALL[random.random_range(0..SoakRoute::ALL.len())];
        let crash = sends_crashes
            .then(|| crash_random.random_range(0..CRASH_REQUESTS.len()))
            .filter(|_| crash_random.random_bool(CRASH_PROBABILITY));
        let (route, id, call) = match crash {
            Some(index) => {
                let id = format!("{name}-{serial}-{}", CRASH_REQUESTS[index].1);
                (CRASH_REQUESTS[index].0, id.clone(), crash_call(index, &id))
            }
            None => {
                let id = format!("{name}-{serial}");
                (route, id.clone(), soak_call(route, &id))
            }
        };
        // The request is recorded before it is sent: if a server runs it and the caller receives no answer, the run
        // must still be attributed to a known request.
        lock(&results.records).push(SoakRecord::new(id.clone(), route));
        let outcome = tokio::time::timeout(ANSWER_TIMEOUT, current.call(&call)).await;
        let reply = outcome.ok().and_then(crate::Result::ok);
        let is_complete = reply.as_ref().is_some_and(|reply| reply.complete);
        record_reply(&results, route, &id, reply);
        connection = is_complete.then_some(current);
    }
}

async fn reconnect(
    connection: Option<SiteConnection>,
    hosts: &[SocketAddr],
    random: &mut StdRng,
) -> Option<SiteConnection> {
    match connection {
        Some(current) if current.is_open() => Some(current),
        _ => {
            let host = hosts[random.random_range(0..hosts.len())];
            // A daemon that is down refuses the connection; the caller then tries another one.
            SiteConnection::open(host).await.ok()
        }
    }
}

pub(super) fn soak_call(route: SoakRoute, id: &str) -> SiteCall {
    SiteCall {
        method: if route == SoakRoute::Safe { "GET" } else { "POST" },
        path: route.path(),
        id: id.to_owned(),
        headers: vec![
            ("x-deadline-ms", "15000".to_owned()),
            ("x-token-count", "100,96".to_owned()),
        ],
        body: if route == SoakRoute::Safe { "" } else { "prompt" },
    }
}

/// Builds a request that crashes the servers that run it.
pub(super) fn crash_call(index: usize, id: &str) -> SiteCall {
    let (route, body) = CRASH_REQUESTS[index];
    SiteCall { method: "POST", body, ..soak_call(route, id) }
}

fn record_reply(results: &CallerResults, route: SoakRoute, id: &str, reply: Option<CallerReply>) {
    let mut report = lock(&results.report);
    report.sent += 1;
    let Some(reply) = reply else {
        report.failed += 1;
        return;
    };
    let status = reply.status.as_u16();
    if let Some(record) = lock(&results.records).iter_mut().rev().find(|record| record.id == id) {
        record.status = Some(status);
    }
    match status {
        200 if reply.complete => report.completed += 1,
        503 => report.refused += 1,
        _ => report.failed += 1,
    }
    let violation: Option<SoakViolation> = check_reply(route, id, &reply);
    report.violations.extend(violation);
}
