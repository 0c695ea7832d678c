//! Callers that keep their connections until the daemon closes them, and leave a stream when their patience ends.

use super::host_contacts::HostContacts;
use super::soak_caller::{CallerResults, soak_call};
use super::soak_check::{SoakRecord, SoakRoute, check_reply};
use crate::Error;
use crate::bench::site::{CallerReply, SiteConnection};
use crate::host::lock;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::ops::Range;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Objectives of the two streaming routes, and the longest pause between events in an answer in time. The patience that
/// follows is shorter than the longest silence on the first route and longer on the second.
pub(super) const STREAM_OBJECTIVE: Duration = Duration::from_millis(600);
pub(super) const RESUME_OBJECTIVE: Duration = Duration::from_millis(1000);
pub(super) const PAUSE_OBJECTIVE: Duration = Duration::from_millis(250);
/// Callers of plain routes wait as long as their deadline allows.
const PLAIN_PATIENCE: Duration = Duration::from_secs(15);
/// Pause of a caller between two requests, in milliseconds.
const PAUSE_MS: Range<u64> = 10..200;

/// How long a caller waits for the next event, as PROTOCOL.md says: two seconds, four objectives or eight pauses,
/// whichever is longest.
fn patience(route: SoakRoute) -> Duration {
    let objective = match route {
        SoakRoute::Stream => STREAM_OBJECTIVE,
        SoakRoute::Resume => RESUME_OBJECTIVE,
        SoakRoute::Safe | SoakRoute::Once => return PLAIN_PATIENCE,
    };
    Duration::from_secs(2).max(objective * 4).max(PAUSE_OBJECTIVE * 8)
}

/// How an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AnswerEnd {
    /// Whole, with this status.
    Whole(u16),
    /// In the middle.
    Cut,
    /// The connection closed before an answer.
    NoAnswer,
    /// The caller's patience ended.
    CallerLeft,
}

/// An answer as its caller saw it.
#[derive(Debug, Clone)]
pub(super) struct HushAnswer {
    pub id: String,
    /// Whether its host was undisturbed for long enough before the request, and until the answer ended. Signals to stop
    /// and to reload disturb no host.
    pub in_touch: bool,
    pub sent_at: Instant,
    pub ended_at: Instant,
    /// When the caller's patience would have ended.
    pub patient_until: Instant,
    pub end: AnswerEnd,
}

/// What the callers share.
#[derive(Debug)]
pub(super) struct HushSite {
    pub contacts: HostContacts,
    pub results: Arc<CallerResults>,
    pub answers: Mutex<Vec<HushAnswer>>,
    /// Tells the callers to stop.
    pub is_stopped: AtomicBool,
}

impl HushSite {
    /// Sends a request; returns whether its connection may be used again.
    async fn ask(
        &self,
        connection: &mut SiteConnection,
        host: usize,
        route: SoakRoute,
        id: &str,
    ) -> bool {
        lock(&self.results.records).push(SoakRecord::new(id.to_owned(), route));
        let (sent_at, patience) = (Instant::now(), patience(route));
        let reply = connection.call_within(&soak_call(route, id), patience).await;
        let ended_at = Instant::now();
        let patient_until = reply.as_ref().map_or(sent_at, |reply| reply.last_at) + patience;
        let end = match &reply {
            Ok(reply) if reply.complete => AnswerEnd::Whole(reply.status.as_u16()),
            Err(Error::Timeout) => AnswerEnd::CallerLeft,
            _ if ended_at >= patient_until => AnswerEnd::CallerLeft,
            Ok(_) => AnswerEnd::Cut,
            Err(_) => AnswerEnd::NoAnswer,
        };
        let in_touch = self.contacts.is_in_touch(host, sent_at);
        let id = id.to_owned();
        let answer = HushAnswer { id, in_touch, sent_at, ended_at, patient_until, end };
        if let Ok(reply) = reply {
            self.record_reply(&answer.id, route, &reply);
        }
        lock(&self.answers).push(answer);
        matches!(end, AnswerEnd::Whole(_))
    }

    fn record_reply(&self, id: &str, route: SoakRoute, reply: &CallerReply) {
        let mut records = lock(&self.results.records);
        if let Some(record) = records.iter_mut().rev().find(|record| record.id == id) {
            record.status = Some(reply.status.as_u16());
        }
        drop(records);
        lock(&self.results.report).violations.extend(check_reply(route, id, reply));
    }
}

/// Sends one request after the other, over one connection as long as the daemon keeps it open.
pub(super) async fn run_hush_caller(name: String, seed: u64, site: Arc<HushSite>) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut kept: Option<(usize, SiteConnection)> = None;
    for serial in 0_u64.. {
        sleep(Duration::from_millis(random.random_range(PAUSE_MS))).await;
        if site.is_stopped.load(Ordering::Relaxed) {
            return;
        }
        let route = SoakRoute::ALL[random.random_range(0..SoakRoute::ALL.len())];
        let drawn = random.random_range(0..site.contacts.len());
        if kept.as_ref().is_none_or(|(_, connection)| !connection.is_open()) {
            // A daemon that has ended refuses the connection; the caller then tries another one.
            let opened = SiteConnection::open(site.contacts.address(drawn)).await;
            kept = opened.ok().map(|connection| (drawn, connection));
        }
        if let Some((host, mut connection)) = kept.take() {
            let id = format!("{name}-{serial}");
            let is_kept = site.ask(&mut connection, host, route, &id).await;
            kept = is_kept.then_some((host, connection));
        }
    }
}
