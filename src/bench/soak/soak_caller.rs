use super::soak_check::{SoakRecord, SoakReport, SoakRoute, SoakViolation, check_reply};
use crate::bench::site::{CallerReply, SiteCall, SiteConnection};
use crate::host::lock;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Longest pause of a caller between two requests.
const LONGEST_PAUSE_MS: u64 = 30;
/// A caller gives an answer up after this long; the daemons' own limits are shorter.
const PATIENCE: Duration = Duration::from_secs(25);

/// Part of the calls that crash the servers that run them, and what sets their draws apart from others.
const CRASHING_PART: f64 = 0.02;
const CRASHING_SALT: u64 = 0xc4a5_4e5d;
/// The requests that do.
pub(super) const CRASHING: [(SoakRoute, &str); 3] =
    [(SoakRoute::Stream, "crash-1"), (SoakRoute::Resume, "crash-2"), (SoakRoute::Safe, "crash-3")];

/// How one caller calls.
#[derive(Debug, Clone)]
pub(super) struct CallerPlan {
    pub seed: u64,
    pub name: String,
    pub is_crashing: bool,
}

/// What all callers write down.
#[derive(Debug, Default)]
pub(super) struct SoakNotes {
    pub records: Mutex<Vec<SoakRecord>>,
    pub report: Mutex<SoakReport>,
    pub ended: AtomicBool,
}

/// One caller: it keeps its connection as long as the daemon does.
pub(super) async fn run_caller(
    plan: CallerPlan,
    hosts: Arc<Vec<SocketAddr>>,
    notes: Arc<SoakNotes>,
) {
    let CallerPlan { seed, name, is_crashing } = plan;
    let mut random = StdRng::seed_from_u64(seed);
    let mut crashing = StdRng::seed_from_u64(seed ^ CRASHING_SALT);
    let mut connection: Option<SiteConnection> = None;
    let mut serial = 0;
    while !notes.ended.load(Ordering::Relaxed) {
        let pause = random.random_range(0..LONGEST_PAUSE_MS);
        tokio::time::sleep(Duration::from_millis(pause)).await;
        let Some(mut open) = reconnect(connection.take(), &hosts, &mut random).await else {
            continue;
        };
        serial += 1;
        let route = SoakRoute::ALL[random.random_range(0..SoakRoute::ALL.len())];
        let crash = is_crashing
            .then(|| crashing.random_range(0..CRASHING.len()))
            .filter(|_| crashing.random_bool(CRASHING_PART));
        let (route, id, call) = match crash {
            Some(which) => {
                let id = format!("{name}-{serial}-{}", CRASHING[which].1);
                (CRASHING[which].0, id.clone(), crashing_call(which, &id))
            }
            None => {
                let id = format!("{name}-{serial}");
                (route, id.clone(), soak_call(route, &id))
            }
        };
        // Written down first: a run of it must be known also if the caller never hears of it.
        lock(&notes.records).push(SoakRecord { id: id.clone(), route, status: None });
        let asked = tokio::time::timeout(PATIENCE, open.call(&call)).await;
        let reply = asked.ok().and_then(crate::Result::ok);
        let whole = reply.as_ref().is_some_and(|reply| reply.complete);
        note_reply(&notes, route, &id, reply);
        connection = whole.then_some(open);
    }
}

async fn reconnect(
    kept: Option<SiteConnection>,
    hosts: &[SocketAddr],
    random: &mut StdRng,
) -> Option<SiteConnection> {
    match kept {
        Some(open) if open.is_open() => Some(open),
        _ => {
            let host = hosts[random.random_range(0..hosts.len())];
            // A daemon that is down refuses; the caller tries another one next.
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

/// A request that crashes the servers that run it.
pub(super) fn crashing_call(which: usize, id: &str) -> SiteCall {
    let (route, body) = CRASHING[which];
    SiteCall { method: "POST", body, ..soak_call(route, id) }
}

fn note_reply(notes: &SoakNotes, route: SoakRoute, id: &str, reply: Option<CallerReply>) {
    let mut report = lock(&notes.report);
    report.sent += 1;
    let Some(reply) = reply else {
        report.failed += 1;
        return;
    };
    let status = reply.status.as_u16();
    if let Some(record) = lock(&notes.records).iter_mut().rev().find(|record| record.id == id) {
        record.status = Some(status);
    }
    match status {
        200 if reply.complete => report.completed += 1,
        503 => report.refused += 1,
        _ => report.failed += 1,
    }
    let breach: Option<SoakViolation> = check_reply(route, id, &reply);
    report.violations.extend(breach);
}
