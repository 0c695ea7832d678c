use crate::bench::site::{CallerReply, SiteEngine, SiteService};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Events of a whole stream.
pub(super) const STREAM_EVENTS: u64 = 8;

/// Routes that the soak's callers use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SoakRoute {
    Stream,
    Resume,
    Safe,
    Once,
}

impl SoakRoute {
    pub const ALL: [Self; 4] = [Self::Stream, Self::Resume, Self::Safe, Self::Once];

    pub const fn name(self) -> &'static str {
        match self {
            Self::Stream => "stream",
            Self::Resume => "resume",
            Self::Safe => "safe",
            Self::Once => "once",
        }
    }

    /// Path of its requests.
    pub fn path(self) -> String {
        format!("/{}/x", self.name())
    }

    /// Most runs of one request.
    const fn most_runs(self) -> usize {
        match self {
            Self::Stream | Self::Once => 1,
            Self::Resume | Self::Safe => 2,
        }
    }

    const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::Resume)
    }
}

/// A promise that was broken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SoakViolation {
    /// The promise.
    pub guarantee: &'static str,
    /// The request or server, and what was seen.
    pub detail: String,
}

/// What a soak saw.
#[derive(Debug, Clone, Default)]
pub struct SoakReport {
    /// Requests sent.
    pub sent: u64,
    /// Requests whose answer was whole.
    pub completed: u64,
    /// Requests that were refused as not run.
    pub refused: u64,
    /// Requests that failed or were cut.
    pub failed: u64,
    /// Faults injected.
    pub faults: u64,
    /// Calls of the store, from start to end.
    pub store_calls: u64,
    /// Promises broken.
    pub violations: Vec<SoakViolation>,
}

/// One request and what its caller was told.
#[derive(Debug, Clone)]
pub(super) struct SoakRecord {
    pub id: String,
    pub route: SoakRoute,
    /// The status, if a head came.
    pub status: Option<u16>,
}

/// Checks an answer by itself, as its caller sees it.
pub(super) fn check_reply(
    route: SoakRoute,
    id: &str,
    reply: &CallerReply,
) -> Option<SoakViolation> {
    let breach = |guarantee, detail: String| {
        Some(SoakViolation { guarantee, detail: format!("{id}: {detail}") })
    };
    if reply.header("x-request-id") != id {
        return breach("an answer belongs to its request", reply.header("x-request-id").to_owned());
    }
    if !reply.status.is_success() {
        return None;
    }
    if route.is_stream() {
        return check_events(id, reply);
    }
    let text = String::from_utf8_lossy(&reply.body);
    if reply.complete && text != format!("{} {id}", route.path()) {
        return breach("a success is the server's whole answer", text.into_owned());
    }
    None
}

fn check_events(id: &str, reply: &CallerReply) -> Option<SoakViolation> {
    let events = reply.events();
    let expected: Vec<u64> = (0..events.len() as u64).collect();
    if events != expected {
        let detail = format!("{id}: {events:?}");
        return Some(SoakViolation { guarantee: "events come once and in order", detail });
    }
    if reply.complete && events.len() as u64 != STREAM_EVENTS {
        let detail = format!("{id}: {} events", events.len());
        return Some(SoakViolation { guarantee: "a stream that looks whole is whole", detail });
    }
    let own: String =
        events.iter().map(|event| format!("id: {event}\ndata: {id} {event}\n\n")).collect();
    let text = String::from_utf8_lossy(&reply.body);
    // Also a stream that was cut holds whole events only.
    (text != own).then(|| SoakViolation {
        guarantee: "a stream has only its own events",
        detail: format!("{id}: {text:?}"),
    })
}

/// Checks what backend servers saw against what callers were told.
pub(super) fn check_runs(
    records: &[SoakRecord],
    decodes: &[Arc<SiteEngine>],
    services: &[Arc<SiteService>],
) -> Vec<SoakViolation> {
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    let decoded = decodes.iter().flat_map(|engine| engine.runs());
    let decoded = decoded.filter(|run| run.stage == "decode").map(|run| run.request);
    for id in decoded.chain(services.iter().flat_map(|service| service.runs())) {
        *runs.entry(id).or_default() += 1;
    }
    let known: BTreeMap<&str, &SoakRecord> =
        records.iter().map(|record| (record.id.as_str(), record)).collect();
    let mut violations = Vec::new();
    for (id, count) in &runs {
        let Some(record) = known.get(id.as_str()) else {
            let detail = id.clone();
            violations.push(SoakViolation { guarantee: "servers run only what was asked", detail });
            continue;
        };
        if *count > record.route.most_runs() {
            let detail = format!("{id} on {}: {count} runs", record.route.name());
            violations.push(SoakViolation { guarantee: "runs are bounded by the route", detail });
        }
        if record.status == Some(503) {
            let detail = format!("{id} on {}", record.route.name());
            violations.push(SoakViolation { guarantee: "what was refused did not run", detail });
        }
    }
    violations
}

/// Checks that orders came under rising fences, and each fence from one holder.
pub(super) fn check_orders(engines: &[Arc<SiteEngine>]) -> Vec<SoakViolation> {
    let mut holders: BTreeMap<u64, String> = BTreeMap::new();
    let mut violations = Vec::new();
    for engine in engines {
        let orders = engine.orders();
        if orders.windows(2).any(|pair| pair[0].1 > pair[1].1) {
            let detail = engine.id.clone();
            violations.push(SoakViolation { guarantee: "fences never fall", detail });
        }
        for (holder, fence) in orders {
            let first = holders.entry(fence).or_insert_with(|| holder.clone());
            if *first != holder {
                let detail = format!("{fence}: {first} and {holder}");
                violations.push(SoakViolation { guarantee: "a fence has one holder", detail });
            }
        }
    }
    violations
}

/// Checks that each hold was used by the request for which it was granted: holds name nobody, so one that
/// two requests used was granted to one of them at most.
pub(super) fn check_holds(decodes: &[Arc<SiteEngine>]) -> Vec<SoakViolation> {
    let mut users: BTreeMap<String, String> = BTreeMap::new();
    let mut violations = Vec::new();
    for run in decodes.iter().flat_map(|engine| engine.runs()) {
        let Some(hold) = run.hold else {
            continue;
        };
        let first = users.entry(hold.clone()).or_insert_with(|| run.request.clone());
        if *first != run.request {
            let detail = format!("{hold}: {first} and {}", run.request);
            violations.push(SoakViolation { guarantee: "a hold is used by one request", detail });
        }
    }
    violations
}
