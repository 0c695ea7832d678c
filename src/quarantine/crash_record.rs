use super::CrashNews;
use crate::keys::{RequestKey, ServerKey, TimePoint};
use std::time::Duration;

/// Requests kept of one crash: as many as an engine runs at once.
const MOST_REQUESTS: usize = 64;
/// How often a host tells what is new to it, to a few hosts each time. Six hosts a time reach all of 300 in four
/// rounds (reckoned); twice as many make up for lost datagrams.
pub(super) const TELLS: u8 = 8;

/// One crash of a server and the requests that were there.
#[derive(Debug, Clone)]
pub(super) struct CrashRecord {
    /// When it was.
    pub at: TimePoint,
    /// When one of its requests last came again.
    pub idle_since: TimePoint,
    /// Requests that were there and are not acquitted.
    pub requests: Vec<RequestKey>,
    /// How often it is yet to be told.
    pub tells_left: u8,
    /// When the last return was told.
    pub told_idle: TimePoint,
    /// The store's copy has all of it.
    pub is_saved: bool,
}

impl CrashRecord {
    pub fn new(at: TimePoint, idle_since: TimePoint) -> Self {
        Self {
            at,
            idle_since,
            requests: Vec::new(),
            tells_left: 0,
            told_idle: idle_since,
            is_saved: true,
        }
    }

    /// Adds a request; false if it is there, or no more are kept.
    pub fn add(&mut self, request: RequestKey) -> bool {
        let fits = self.requests.len() < MOST_REQUESTS && !self.requests.contains(&request);
        if fits {
            self.requests.push(request);
        }
        fits
    }

    pub fn news(&self, now: TimePoint, server: ServerKey) -> CrashNews {
        CrashNews {
            server,
            age_ms: whole_millis(now.since(self.at)),
            idle_ms: whole_millis(now.since(self.idle_since)),
            requests: self.requests.clone(),
        }
    }
}

pub(super) fn whole_millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
