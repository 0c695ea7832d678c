use super::handover_record::HandoverTally;
use super::hush_check::HushTally;
use super::part_check::PartTally;
use super::repeat_check::RepeatTally;
use super::stream_taker::VersionTally;
use crate::bench::rogue::WHOLE_REQUEST_PREFIX;
use crate::bench::site::{AcceptedOrder, CallerReply, SiteEngine, SiteService};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

/// Number of events in a complete stream.
pub(super) const STREAM_EVENTS: u64 = 8;

/// The routes that callers use.
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

    /// Returns the path of requests on this route.
    pub fn path(self) -> String {
        format!("/{}/x", self.name())
    }

    /// Returns the largest number of times that servers may run one request.
    const fn max_runs(self) -> usize {
        match self {
            Self::Stream | Self::Once => 1,
            Self::Resume | Self::Safe => 2,
        }
    }

    /// Whether it runs on engines; the others run on servers of the plain service.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::Resume)
    }
}

/// A violation of a guarantee.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SoakViolation {
    /// The guarantee that was violated.
    pub guarantee: &'static str,
    /// The request or server concerned, and what was observed.
    pub detail: String,
}

/// Requests that were sent once, and how many of them were served.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CutTries {
    /// Number of requests.
    pub sent: u64,
    /// Number of requests that received a complete answer of a server.
    pub served: u64,
}

impl CutTries {
    pub(super) fn add(&mut self, other: Self) {
        self.sent += other.sent;
        self.served += other.served;
    }
}

/// The results of a soak test.
#[derive(Debug, Clone, Default)]
pub struct SoakReport {
    /// Number of requests sent.
    pub sent: u64,
    /// Number of requests that received a complete answer.
    pub completed: u64,
    /// Number of requests that were refused as not run.
    pub refused: u64,
    /// Number of requests that failed or whose answer was cut off.
    pub failed: u64,
    /// Number of faults injected.
    pub faults: u64,
    /// Number of calls to the store.
    pub store_calls: u64,
    /// First tries at hosts without a path to the servers, and at the other hosts meanwhile.
    pub cut_tries: (CutTries, CutTries),
    /// First tries before and while most new connections went to one host.
    pub herd_tries: (CutTries, CutTries),
    /// Repeats that arrived at servers, if they were summed.
    pub repeats: RepeatTally,
    /// What was found while servers stood still and went on.
    pub hushed: HushTally,
    /// What was found beside handovers of the lease, cuts and servers that leave.
    pub handovers: HandoverTally,
    /// What callers found that took their streams up, if servers of several versions served.
    pub versions: VersionTally,
    /// What was found of parts of prompts that crash servers, if there were any.
    pub parts: PartTally,
    /// Most memory of a daemon beside clients that do not behave, in bytes; zero without them.
    pub peak_bytes: u64,
    /// Violations of guarantees.
    pub violations: Vec<SoakViolation>,
}

/// A request and the status that its caller received.
#[derive(Debug, Clone)]
pub(super) struct SoakRecord {
    pub id: String,
    pub route: SoakRoute,
    /// The status, if the head of an answer arrived.
    pub status: Option<u16>,
    /// When it was sent, or recorded if a check records it only after its answer.
    pub asked_at: Instant,
}

impl SoakRecord {
    /// A request that is sent now.
    pub fn new(id: String, route: SoakRoute) -> Self {
        Self { id, route, status: None, asked_at: Instant::now() }
    }

    /// A request that was answered with `status`.
    pub fn answered(id: String, route: SoakRoute, status: Option<u16>) -> Self {
        Self { status, ..Self::new(id, route) }
    }
}

/// Checks a single answer as its caller sees it.
pub(super) fn check_reply(
    route: SoakRoute,
    id: &str,
    reply: &CallerReply,
) -> Option<SoakViolation> {
    let violation = |guarantee, detail: String| {
        Some(SoakViolation { guarantee, detail: format!("{id}: {detail}") })
    };
    if reply.header("x-request-id") != id {
        return violation(
            "an answer belongs to its request",
            reply.header("x-request-id").to_owned(),
        );
    }
    if !reply.status.is_success() {
        return None;
    }
    if route.is_stream() {
        return check_events(id, reply);
    }
    let text = String::from_utf8_lossy(&reply.body);
    if reply.complete && text != format!("{} {id}", route.path()) {
        return violation("a success is the server's whole answer", text.into_owned());
    }
    None
}

fn check_events(id: &str, reply: &CallerReply) -> Option<SoakViolation> {
    let events = reply.events();
    let in_order: Vec<u64> = (0..events.len() as u64).collect();
    if events != in_order {
        let detail = format!("{id}: {events:?}");
        return Some(SoakViolation { guarantee: "events come once and in order", detail });
    }
    if reply.complete && events.len() as u64 != STREAM_EVENTS {
        let detail = format!("{id}: {} events", events.len());
        return Some(SoakViolation { guarantee: "a stream that looks whole is whole", detail });
    }
    // Engines whose software was replaced name its version in each event. All events of an answer name the same.
    let version = reply.event_versions().first().map(|version| format!(": {version}\n"));
    let version = version.unwrap_or_default();
    let expected: String = events
        .iter()
        .map(|event| format!("id: {event}\ndata: {id} {event}\n{version}\n"))
        .collect();
    let text = String::from_utf8_lossy(&reply.body);
    // A stream that was cut off contains only complete events as well.
    (text != expected).then(|| SoakViolation {
        guarantee: "a stream has only its own events",
        detail: format!("{id}: {text:?}"),
    })
}

/// Compares the runs on backend servers with the statuses that callers received.
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
    // Clients that do not behave keep no records, and use ids again; what they sent in part may not run.
    let recorded = runs.iter().filter(|(id, _)| !id.starts_with(WHOLE_REQUEST_PREFIX));
    for (id, count) in recorded {
        let Some(record) = known.get(id.as_str()) else {
            let detail = id.clone();
            violations.push(SoakViolation { guarantee: "servers run only what was asked", detail });
            continue;
        };
        if *count > record.route.max_runs() {
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

/// Checks that the fencing tokens of orders never decrease and that each token has only one holder.
pub(super) fn check_orders(engines: &[Arc<SiteEngine>]) -> Vec<SoakViolation> {
    let mut holders: BTreeMap<u64, String> = BTreeMap::new();
    let mut violations = Vec::new();
    for engine in engines {
        let orders = engine.orders();
        if orders.windows(2).any(|pair| pair[0].fence > pair[1].fence) {
            let detail = engine.id.clone();
            violations.push(SoakViolation { guarantee: "fences never fall", detail });
        }
        for AcceptedOrder { holder, fence, .. } in orders {
            let first = holders.entry(fence).or_insert_with(|| holder.clone());
            if *first != holder {
                let detail = format!("{fence}: {first} and {holder}");
                violations.push(SoakViolation { guarantee: "a fence has one holder", detail });
            }
        }
    }
    violations
}

/// Checks that each hold was used only by the request to which it was granted. A hold does not identify its request,
/// so a hold that two requests used was granted to at most one of them.
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
