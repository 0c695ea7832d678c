use super::{CrashUpdate, InterruptedRequest};
use crate::keys::{RequestKey, ServerKey, TimePoint};
use std::time::Duration;

/// Requests kept of one crash: as many as an engine runs at once.
const MOST_REQUESTS: usize = 64;
/// How often a host tells what is new to it, to a few hosts each time. Six hosts a time reach all of 300 in four
/// rounds (reckoned); twice as many make up for lost datagrams.
pub(super) const TELLS: u8 = 8;

/// Hosts notice the same crash so far apart, and news take so long. A run that began by so much before another server's
/// crash may have been the answer to it; differences below it are not told on.
pub(super) const CLOCK_SLACK: Duration = Duration::from_millis(10);

/// A request that was at a crash.
#[derive(Debug, Clone, Copy)]
pub(super) struct InterruptedRun {
    pub request: RequestKey,
    /// Since when it had been there, by the oldest of its runs.
    pub started_at: TimePoint,
}

/// What a record learned of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AddedRun {
    /// That it was there.
    New,
    /// That it had been there for notably longer.
    Longer,
    /// Nothing, or no more is kept.
    Known,
}

/// One crash of a server and the requests that were there.
#[derive(Debug, Clone)]
pub(super) struct CrashRecord {
    /// When it was.
    pub crashed_at: TimePoint,
    /// When this host learned of it.
    pub learned_at: TimePoint,
    /// When one of its requests last came again.
    pub idle_since: TimePoint,
    /// Requests that were there and are not acquitted.
    pub requests: Vec<InterruptedRun>,
    /// How often it is yet to be told.
    pub sends_left: u8,
    /// When the last return was told.
    pub return_sent_at: TimePoint,
    /// The store's copy has all of it.
    pub is_saved: bool,
}

impl CrashRecord {
    pub fn new(now: TimePoint, at: TimePoint, idle_since: TimePoint) -> Self {
        Self {
            crashed_at: at,
            learned_at: now,
            idle_since,
            requests: Vec::new(),
            sends_left: 0,
            return_sent_at: idle_since,
            is_saved: true,
        }
    }

    /// Adds a request, or learns that it had been there for longer.
    pub fn add(&mut self, run: InterruptedRun) -> AddedRun {
        let has_room = self.requests.len() < MOST_REQUESTS;
        match self.requests.iter_mut().find(|known| known.request == run.request) {
            Some(known) if run.started_at < known.started_at => {
                let is_told = known.started_at.since(run.started_at) > CLOCK_SLACK;
                known.started_at = run.started_at;
                if is_told { AddedRun::Longer } else { AddedRun::Known }
            }
            None if has_room => {
                self.requests.push(run);
                AddedRun::New
            }
            Some(_) | None => AddedRun::Known,
        }
    }

    /// Whether a request was there.
    pub fn has(&self, request: RequestKey) -> bool {
        self.run(request).is_some()
    }

    /// A request that was there.
    pub fn run(&self, request: RequestKey) -> Option<InterruptedRun> {
        self.requests.iter().find(|run| run.request == request).copied()
    }

    /// Whether a copy of this record names all of its requests.
    pub fn is_in(&self, copy: &CrashUpdate) -> bool {
        let names = |request| copy.requests.iter().any(|broken| broken.request == request);
        self.requests.iter().all(|run| names(run.request))
    }

    fn broken(&self, run: &InterruptedRun) -> InterruptedRequest {
        let ran_ms = whole_millis(self.crashed_at.since(run.started_at));
        InterruptedRequest { request: run.request, ran_ms }
    }

    pub fn update(&self, now: TimePoint, server: ServerKey) -> CrashUpdate {
        CrashUpdate {
            server,
            age_ms: whole_millis(now.since(self.crashed_at)),
            idle_ms: whole_millis(now.since(self.idle_since)),
            requests: self.requests.iter().map(|run| self.broken(run)).collect(),
        }
    }
}

pub(super) fn whole_millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
