use super::{CrashUpdate, InterruptedRequest};
use crate::keys::{RequestKey, ServerKey, TimePoint};
use std::time::Duration;

/// Maximum number of requests kept per crash: as many as an engine runs at once.
const MAX_REQUESTS: usize = 64;
/// How many times a host sends each new item, each time to a few other hosts. With six hosts per send, all of 300
/// hosts are reached in an estimated four rounds; twice as many sends make up for lost datagrams.
pub(super) const UPDATE_SENDS: u8 = 8;

/// How far apart hosts may detect the same crash, including the delay of updates. A run that started by less than this
/// before the crash of another server may have been a retry after that crash. Hosts do not send each other smaller
/// corrections of start times.
pub(super) const CLOCK_TOLERANCE: Duration = Duration::from_millis(10);

/// A request that was in flight at a crash.
#[derive(Debug, Clone, Copy)]
pub(super) struct InterruptedRun {
    pub request: RequestKey,
    /// When the oldest of its runs on the server started.
    pub started_at: TimePoint,
}

/// How adding a run changed a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RunChange {
    /// The request is new to the record.
    New,
    /// The run started earlier than was known, by more than [`CLOCK_TOLERANCE`].
    Extended,
    /// Nothing worth sending to other hosts changed, or the record is full.
    Unchanged,
}

/// One crash of a server and the requests in flight at it.
#[derive(Debug, Clone)]
pub(super) struct CrashRecord {
    /// When the server crashed.
    pub crashed_at: TimePoint,
    /// When this host learned of the crash.
    pub learned_at: TimePoint,
    /// When a caller last sent one of its requests again.
    pub idle_since: TimePoint,
    /// Requests that were in flight and are not cleared.
    pub requests: Vec<InterruptedRun>,
    /// How many more times the record is sent to other hosts.
    pub sends_left: u8,
    /// When this host last scheduled a report that a caller sent one of the requests again.
    pub return_sent_at: TimePoint,
    /// Whether the copy in the store contains the whole record.
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

    /// Adds a request, or moves the start of its run back.
    pub fn add(&mut self, run: InterruptedRun) -> RunChange {
        let has_room = self.requests.len() < MAX_REQUESTS;
        match self.requests.iter_mut().find(|known| known.request == run.request) {
            Some(known) if run.started_at < known.started_at => {
                let is_notable = known.started_at.since(run.started_at) > CLOCK_TOLERANCE;
                known.started_at = run.started_at;
                if is_notable { RunChange::Extended } else { RunChange::Unchanged }
            }
            None if has_room => {
                self.requests.push(run);
                RunChange::New
            }
            Some(_) | None => RunChange::Unchanged,
        }
    }

    /// Whether a request was in flight.
    pub fn has(&self, request: RequestKey) -> bool {
        self.run(request).is_some()
    }

    /// The run of a request, if it was in flight.
    pub fn run(&self, request: RequestKey) -> Option<InterruptedRun> {
        self.requests.iter().find(|run| run.request == request).copied()
    }

    /// Whether `copy` contains all requests of this record.
    pub fn is_in(&self, copy: &CrashUpdate) -> bool {
        let contains = |request| copy.requests.iter().any(|copied| copied.request == request);
        self.requests.iter().all(|run| contains(run.request))
    }

    fn interrupted_request(&self, run: &InterruptedRun) -> InterruptedRequest {
        let ran_ms = whole_millis(self.crashed_at.since(run.started_at));
        InterruptedRequest { request: run.request, ran_ms }
    }

    pub fn update(&self, now: TimePoint, server: ServerKey) -> CrashUpdate {
        CrashUpdate {
            server,
            age_ms: whole_millis(now.since(self.crashed_at)),
            idle_ms: whole_millis(now.since(self.idle_since)),
            requests: self.requests.iter().map(|run| self.interrupted_request(run)).collect(),
        }
    }
}

pub(super) fn whole_millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
