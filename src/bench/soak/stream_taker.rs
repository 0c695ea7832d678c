//! Callers that take their streams up at other hosts, and what they find of the software versions of the servers.

use super::host_contacts::HostContacts;
use super::soak_caller::{CallerResults, soak_call};
use super::soak_check::{STREAM_EVENTS, SoakRecord, SoakRoute, SoakViolation};
use crate::bench::site::{CallerReply, SiteCall, SiteConnection, SiteEngine};
use crate::host::lock;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::ops::Range;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How often a caller takes one stream up.
const MAX_RESUMPTIONS: usize = 3;
/// A caller gives up an answer in which nothing arrives for this long.
const ANSWER_GAP: Duration = Duration::from_millis(2000);
/// How long a caller looks for a host that accepts its connection: longer than all hosts are dead.
const CONNECT_TIME: Duration = Duration::from_secs(5);
/// Pause of a caller between two streams, and before it takes one up, in milliseconds.
const PAUSE_MS: Range<u64> = 20..300;
/// Servers of a version from which on its streams must be able to go on.
const MIN_SERVERS: usize = 2;

/// Tries at hosts in touch, and how many of them brought an event.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StreamTries {
    /// Number of tries.
    pub sent: u64,
    /// Number of tries that brought an event, or the end of a stream all of whose events had arrived.
    pub begun: u64,
}

impl StreamTries {
    pub(super) fn add(&mut self, begun: bool) {
        self.sent += 1;
        self.begun += u64::from(begun);
    }
}

/// What the callers of streams found.
#[derive(Debug, Clone, Default)]
pub struct VersionTally {
    /// Streams that brought an event.
    pub streams: u64,
    /// Tries at new streams at hosts in touch.
    pub new: StreamTries,
    /// Tries to take streams up at hosts in touch, while two servers of their version served.
    pub taken_up: StreamTries,
    /// Ids of the tries among them that brought no event.
    pub not_taken_up: Vec<String>,
    /// Streams with events of several versions, each described.
    pub mixed: Vec<String>,
    /// Number of mixed streams whose versions changed within one answer.
    pub mixed_in_answer: u64,
}

impl VersionTally {
    /// The users' bounds: no more than two mixed streams, and of 12 or more streams taken up at least half as many go on
    /// as new ones begin.
    pub(super) fn violations(&self) -> Vec<SoakViolation> {
        let mut violations = Vec::new();
        if self.mixed.len() > 2 {
            let detail = format!(
                "{} of {} streams, {} within one answer; {}",
                self.mixed.len(),
                self.streams,
                self.mixed_in_answer,
                self.mixed[..3].join("; ")
            );
            let guarantee = "a stream has events of one software version";
            violations.push(SoakViolation { guarantee, detail });
        }
        let (new, taken_up) = (self.new, self.taken_up);
        let is_rare = 2 * taken_up.begun * new.sent < new.begun * taken_up.sent;
        if taken_up.sent >= 12 && is_rare {
            let detail = format!(
                "{} of {} go on, {} of {} new ones begin; {}",
                taken_up.begun,
                taken_up.sent,
                new.begun,
                new.sent,
                self.not_taken_up.join(" ")
            );
            let guarantee = "streams that are taken up go on";
            violations.push(SoakViolation { guarantee, detail });
        }
        violations
    }
}

/// What callers of streams share.
#[derive(Debug)]
pub(super) struct TakerSite {
    pub contacts: HostContacts,
    /// The decode engines.
    pub engines: Vec<Arc<SiteEngine>>,
    pub results: Arc<CallerResults>,
    pub tally: Mutex<VersionTally>,
    /// Tells the callers to stop.
    pub is_stopped: AtomicBool,
}

/// A stream as its caller has received it so far.
#[derive(Debug, Default)]
struct TakenStream {
    /// The attempt that brought the first event.
    first_attempt: Option<String>,
    /// Number of the last event.
    last: Option<u64>,
    /// The attempt and the version of each event.
    versions: Vec<(usize, String)>,
    is_whole: bool,
}

impl TakenStream {
    /// The version that began it.
    fn version(&self) -> Option<&str> {
        self.versions.first().map(|(_, version)| version.as_str())
    }

    fn is_mixed(&self) -> bool {
        self.versions.iter().any(|(_, version)| Some(version.as_str()) != self.version())
    }

    fn is_mixed_in_answer(&self) -> bool {
        self.versions.windows(2).any(|pair| pair[0].0 == pair[1].0 && pair[0].1 != pair[1].1)
    }

    /// Adds the events of an answer; returns what is wrong with them.
    fn add(&mut self, attempt: usize, id: &str, reply: &CallerReply) -> Option<String> {
        let (events, versions) = (reply.events(), reply.event_versions());
        if events.is_empty() {
            // All events may have arrived before, and only the end of the answer was lost.
            self.is_whole = reply.complete;
            let is_short = reply.complete && self.last != Some(STREAM_EVENTS - 1);
            return is_short.then(|| format!("{id}: whole after {:?}", self.last));
        }
        let next = self.last.map_or(0, |last| last + 1);
        let expected: Vec<u64> = (next..).take(events.len()).collect();
        let is_short = reply.complete && events.last() != Some(&(STREAM_EVENTS - 1));
        if events != expected || versions.len() != events.len() || is_short {
            return Some(format!("{id}: after {:?} {events:?} at {versions:?}", self.last));
        }
        self.first_attempt.get_or_insert_with(|| id.to_owned());
        self.last = events.last().copied();
        self.versions.extend(versions.into_iter().map(|version| (attempt, version)));
        self.is_whole = reply.complete;
        None
    }
}

impl TakerSite {
    fn serving(&self, version: &str) -> usize {
        let serves = |engine: &&Arc<SiteEngine>| {
            !engine.is_down() && engine.stage() == "decode" && engine.software().version == version
        };
        self.engines.iter().filter(serves).count()
    }

    /// Whether a try of `stream` at a host counts.
    fn counts(&self, host: usize, at: Instant, stream: &TakenStream) -> bool {
        let serves = stream.version().is_none_or(|version| self.serving(version) >= MIN_SERVERS);
        serves && self.contacts.is_in_touch(host, at)
    }

    /// Sends one attempt at a stream; returns whether it brought an event, or the end that alone was missing.
    async fn attempt(
        &self,
        mut connection: SiteConnection,
        index: usize,
        id: &str,
        stream: &mut TakenStream,
    ) -> bool {
        let record = SoakRecord::new(id.to_owned(), SoakRoute::Resume);
        lock(&self.results.records).push(record);
        let before = stream.versions.len();
        let Ok(reply) = connection.call_within(&stream_call(id, stream), ANSWER_GAP).await else {
            return false;
        };
        let mut records = lock(&self.results.records);
        if let Some(record) = records.iter_mut().rev().find(|record| record.id == id) {
            record.status = Some(reply.status.as_u16());
        }
        drop(records);
        if reply.status.is_success()
            && let Some(detail) = stream.add(index, id, &reply)
        {
            let guarantee = "events come once and in order";
            lock(&self.results.report).violations.push(SoakViolation { guarantee, detail });
        }
        stream.versions.len() > before || stream.is_whole
    }

    /// Connects to a host drawn at random; where none accepts, tries again after a pause.
    async fn connect(&self, random: &mut StdRng) -> Option<(usize, SiteConnection)> {
        let began_at = Instant::now();
        while began_at.elapsed() < CONNECT_TIME && !self.is_stopped.load(Ordering::Relaxed) {
            sleep(Duration::from_millis(random.random_range(PAUSE_MS))).await;
            let host = random.random_range(0..self.contacts.len());
            if let Ok(connection) = SiteConnection::open(self.contacts.address(host)).await {
                return Some((host, connection));
            }
        }
        None
    }

    fn record(&self, name: &str, stream: &TakenStream) {
        let mut tally = lock(&self.tally);
        tally.streams += u64::from(!stream.versions.is_empty());
        if stream.is_mixed() {
            tally.mixed.push(format!("{name}: {:?}", stream.versions));
            tally.mixed_in_answer += u64::from(stream.is_mixed_in_answer());
        }
    }
}

fn stream_call(id: &str, stream: &TakenStream) -> SiteCall {
    let mut call = soak_call(SoakRoute::Resume, id);
    if let (Some(first), Some(last)) = (&stream.first_attempt, stream.last) {
        call.headers.push(("last-event-id", last.to_string()));
        call.headers.push(("resumes", first.clone()));
    }
    call
}

/// Asks for one stream after the other, and takes each up at another host where its answer breaks off.
pub(super) async fn run_taker(name: String, seed: u64, site: Arc<TakerSite>) {
    let mut random = StdRng::seed_from_u64(seed);
    for serial in 0_u64.. {
        if site.is_stopped.load(Ordering::Relaxed) {
            return;
        }
        let mut stream = TakenStream::default();
        for index in 0..=MAX_RESUMPTIONS {
            let Some((host, connection)) = site.connect(&mut random).await else {
                break;
            };
            let (id, sent_at) = (format!("{name}-{serial}-{index}"), Instant::now());
            let is_new = stream.versions.is_empty();
            let counted = site.counts(host, sent_at, &stream);
            let begun = site.attempt(connection, index, &id, &mut stream).await;
            if counted && site.counts(host, sent_at, &stream) {
                let mut tally = lock(&site.tally);
                let tries = if is_new { &mut tally.new } else { &mut tally.taken_up };
                tries.add(begun);
                if !is_new && !begun {
                    tally.not_taken_up.push(id);
                }
            }
            if stream.is_whole {
                break;
            }
        }
        site.record(&format!("{name}-{serial}"), &stream);
    }
}
