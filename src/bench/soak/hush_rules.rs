//! What the rules say of requests whose servers stood still: no answer ends early, and none is worked on twice.

use super::hush_caller::{AnswerEnd, HushAnswer};
use super::server_silence::SilentTime;
use super::soak_check::SoakViolation;
use crate::bench::site::TestSite;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// The platform kills a process this long after SIGTERM, as the daemons' settings say.
pub(super) const GRACE: Duration = Duration::from_secs(8);
/// A request that was sent within this time after SIGTERM may be cut in the last sixth of [`GRACE`].
const EARLY_TIME: Duration = Duration::from_secs(3);
/// How long a former server may work on a request that continues at another one.
const RELEASE_TIME: Duration = Duration::from_millis(400);
/// Number of requests that a violation names.
const NAMED: usize = 4;

/// Work on a request at a server.
#[derive(Debug, Clone)]
struct ServerWork {
    server: String,
    begun_at: Instant,
    ended_at: Option<Instant>,
}

/// The requests that reached servers, the silences of servers and the stops of hosts.
#[derive(Debug)]
pub(super) struct HushRecord {
    /// Servers that a request reached, also if none worked on it.
    reached: BTreeMap<String, Vec<String>>,
    /// Streams that servers worked on, in the order in which they began.
    work: BTreeMap<String, Vec<ServerWork>>,
    silences: Vec<SilentTime>,
    stops: Vec<Instant>,
}

impl HushRecord {
    /// The record of a site whose hosts received SIGTERM at the times `stops`.
    pub fn new(site: &TestSite, silences: Vec<SilentTime>, stops: Vec<Instant>) -> Self {
        let mut reached: BTreeMap<String, Vec<String>> = BTreeMap::new();
        let engines = site.decodes.iter().chain(&site.prefills);
        let engines = engines.map(|engine| (&engine.id, &engine.arrivals));
        let services = site.services.iter().map(|service| (&service.id, &service.arrivals));
        for (server, arrivals) in engines.chain(services) {
            for arrival in arrivals.requests() {
                reached.entry(arrival.request).or_default().push(server.clone());
            }
        }
        let mut work: BTreeMap<String, Vec<ServerWork>> = BTreeMap::new();
        for engine in &site.decodes {
            for run in engine.runs().into_iter().filter(|run| run.stage == "decode") {
                let (begun_at, ended_at) = (run.arrived_at, run.ended_at);
                let server = engine.id.clone();
                work.entry(run.request).or_default().push(ServerWork {
                    server,
                    begun_at,
                    ended_at,
                });
            }
        }
        for runs in work.values_mut() {
            runs.sort_by_key(|run| run.begun_at);
        }
        Self { reached, work, silences, stops }
    }

    /// Whether a host ended an answer early: it reached a server, its caller still waited, and a server of it went on
    /// within the caller's patience.
    pub fn is_lost(&self, answer: &HushAnswer) -> bool {
        let is_early = matches!(answer.end, AnswerEnd::Cut | AnswerEnd::NoAnswer);
        is_early
            && answer.in_touch
            && !self.ended_with_host(answer)
            && self.servers(&answer.id).iter().any(|server| self.went_on(server, answer))
    }

    /// The servers that worked on a request; those that it reached if none did.
    fn servers(&self, id: &str) -> Vec<&str> {
        match (self.work.get(id), self.reached.get(id)) {
            (Some(runs), _) => runs.iter().map(|run| run.server.as_str()).collect(),
            (None, Some(servers)) => servers.iter().map(String::as_str).collect(),
            (None, None) => Vec::new(),
        }
    }

    fn went_on(&self, server: &str, answer: &HushAnswer) -> bool {
        let outlasts = |silence: &SilentTime| {
            silence.hits(server)
                && silence.from <= answer.ended_at
                && silence.to >= answer.patient_until
        };
        !self.silences.iter().any(outlasts)
    }

    /// Whether a stop allows the end of an answer: the request was sent soon after SIGTERM, and its server was still at
    /// work in the last sixth of the grace period. An answer that was not whole by then is one.
    fn ended_with_host(&self, answer: &HushAnswer) -> bool {
        self.stops.iter().any(|stop| {
            answer.sent_at <= *stop + EARLY_TIME
                && answer.ended_at >= *stop + GRACE * 5 / 6
                && answer.ended_at <= *stop + GRACE + Duration::from_secs(1)
        })
    }

    /// Whether a former server of a request worked on it too long after it continued at another one. A server that stands
    /// still cannot be reached until it goes on.
    pub fn is_worked_on_twice(&self, answer: &HushAnswer) -> bool {
        let runs = self.work.get(&answer.id).map_or(&[][..], Vec::as_slice);
        answer.in_touch
            && runs.windows(2).any(|pair| {
                let due = self.release_due(&pair[0].server, pair[1].begun_at);
                pair[0].ended_at.is_none_or(|ended_at| ended_at > due)
            })
    }

    /// When `server` must have released a request that continues elsewhere since `since`.
    fn release_due(&self, server: &str, since: Instant) -> Instant {
        let mut due = since + RELEASE_TIME;
        let mut silences: Vec<&SilentTime> =
            self.silences.iter().filter(|silence| silence.hits(server)).collect();
        silences.sort_by_key(|silence| silence.from);
        for silence in silences {
            if silence.to >= since && silence.from <= due {
                due = due.max(silence.to + RELEASE_TIME);
            }
        }
        due
    }
}

/// A violation that counts the requests it concerns and names some of them.
pub(super) fn violation(
    guarantee: &'static str,
    concerned: &[&HushAnswer],
    all: usize,
) -> Option<SoakViolation> {
    let named: Vec<String> = concerned
        .iter()
        .take(NAMED)
        .map(|answer| format!("{} {:?}", answer.id, answer.end))
        .collect();
    let detail = format!("{} of {all}: {}", concerned.len(), named.join(", "));
    (!concerned.is_empty()).then_some(SoakViolation { guarantee, detail })
}
