//! Callers whose prompts share parts, of which some crash the servers that begin to write on them.

use super::host_contacts::HostContacts;
use super::soak_caller::{CallerResults, soak_call};
use super::soak_check::{SoakRecord, SoakRoute};
use crate::bench::site::{SiteCall, SiteConnection};
use crate::host::lock;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::ops::Range;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// A caller gives up an answer in which nothing arrives for this long.
const ANSWER_GAP: Duration = Duration::from_millis(2000);
/// Number of parts of which sound prompts have one behind the first part.
const MIDDLE_PARTS: u32 = 8;
/// Pause of a sound caller between two requests, in milliseconds.
const SOUND_PAUSE_MS: Range<u64> = 100..900;
/// Pause of a caller between two requests that crash servers, in milliseconds.
const BAD_PAUSE_MS: Range<u64> = 150..500;
/// Probability that such a request has the newest of the bad parts instead of an older one.
const NEWEST_PROBABILITY: f64 = 0.7;

/// A first try of a sound request at a host in touch.
#[derive(Debug, Clone, Copy)]
pub(super) struct SoundTry {
    pub sent_at: Instant,
    /// Whether it brought an event.
    pub has_begun: bool,
}

/// What callers of prompts share.
#[derive(Debug)]
pub(super) struct PartSite {
    pub contacts: HostContacts,
    pub results: Arc<CallerResults>,
    /// Number of bad parts so far; none is sent while it is zero.
    pub bad_parts: AtomicUsize,
    pub sound_tries: Mutex<Vec<SoundTry>>,
    /// Ids of the requests with bad parts at hosts that were in touch until their answers ended.
    pub bad_in_touch: Mutex<Vec<String>>,
    /// Tells the callers to stop.
    pub is_stopped: AtomicBool,
}

impl PartSite {
    /// Sends a request; returns whether an event arrived, and whether its host was in touch all the time.
    async fn attempt(&self, host: usize, route: SoakRoute, middle: &str, id: &str) -> (bool, bool) {
        let sent_at = Instant::now();
        let counted = self.contacts.is_in_touch(host, sent_at);
        let record = SoakRecord::new(id.to_owned(), route);
        lock(&self.results.records).push(record);
        let mut has_begun = false;
        if let Ok(mut connection) = SiteConnection::open(self.contacts.address(host)).await
            && let Ok(reply) =
                connection.call_within(&prompt_call(route, middle, id), ANSWER_GAP).await
        {
            has_begun = !reply.events().is_empty();
            let mut records = lock(&self.results.records);
            if let Some(record) = records.iter_mut().rev().find(|record| record.id == id) {
                record.status = Some(reply.status.as_u16());
            }
        }
        (has_begun, counted && self.contacts.is_in_touch(host, sent_at))
    }
}

/// Sends sound requests, each once.
pub(super) async fn run_sound_caller(name: String, seed: u64, site: Arc<PartSite>) {
    let mut random = StdRng::seed_from_u64(seed);
    for serial in 0_u64.. {
        sleep(Duration::from_millis(random.random_range(SOUND_PAUSE_MS))).await;
        if site.is_stopped.load(Ordering::Relaxed) {
            return;
        }
        let host = random.random_range(0..site.contacts.len());
        let middle = format!("a{}", random.random_range(0..MIDDLE_PARTS));
        let (id, sent_at) = (format!("{name}-{serial}"), Instant::now());
        let (has_begun, counted) = site.attempt(host, SoakRoute::Stream, &middle, &id).await;
        if counted {
            lock(&site.sound_tries).push(SoundTry { sent_at, has_begun });
        }
    }
}

/// Sends requests with bad parts, each different, at any host.
pub(super) async fn run_bad_caller(name: String, seed: u64, site: Arc<PartSite>) {
    let mut random = StdRng::seed_from_u64(seed);
    for serial in 0_u64.. {
        sleep(Duration::from_millis(random.random_range(BAD_PAUSE_MS))).await;
        if site.is_stopped.load(Ordering::Relaxed) {
            return;
        }
        let known = site.bad_parts.load(Ordering::Relaxed);
        let Some(newest) = known.checked_sub(1) else { continue };
        let is_newest = random.random_bool(NEWEST_PROBABILITY);
        let part = if is_newest { newest } else { random.random_range(0..known) };
        let route = if random.random_bool(0.5) { SoakRoute::Stream } else { SoakRoute::Resume };
        let host = random.random_range(0..site.contacts.len());
        let (middle, id) = (format!("bad{part}"), bad_id(&name, part, serial));
        let (_, counted) = site.attempt(host, route, &middle, &id).await;
        if counted {
            lock(&site.bad_in_touch).push(id);
        }
    }
}

fn bad_id(name: &str, part: usize, serial: u64) -> String {
    format!("{name}-part{part}-{serial}")
}

/// The bad part of a request, by its id; `None` for other requests.
pub(super) fn bad_part_of(id: &str) -> Option<usize> {
    let (_, rest) = id.split_once("-part")?;
    rest.split('-').next()?.parse().ok()
}

/// A request whose prompt has the first part of all, a middle part, and a part of its own.
fn prompt_call(route: SoakRoute, middle: &str, id: &str) -> SiteCall {
    let mut call = soak_call(route, id);
    let own: String = id.bytes().map(|byte| format!("{byte:02x}")).collect();
    call.path = format!("{}?{own}", route.path());
    call.headers.push(("x-prompt-prefix", format!("5c1e07a2:40,{middle}:40,{own}:20")));
    call
}
