//! Crashes of servers with the requests in flight, shared by tests of the quarantine.

#![allow(dead_code, reason = "each test file uses a part of it")]

use tealcleat::keys::{NameKey, RequestKey, ServerKey, TimePoint};
use tealcleat::quarantine::CrashTracker;

pub const CRASHER: RequestKey = RequestKey(u64::MAX);

pub fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(100_000 + millis)
}

pub fn server(number: u64) -> ServerKey {
    NameKey(0xa000_0000_0000_0000 + number)
}

pub fn request(number: u64) -> RequestKey {
    RequestKey(0xb000_0000_0000_0000 + number)
}

/// A tracker of crashes a second apart, each with the requests in flight.
pub fn tracker_of(crashes: &[&[RequestKey]]) -> CrashTracker {
    let mut tracker = CrashTracker::default();
    for (requests, number) in crashes.iter().zip(0..) {
        for request in *requests {
            tracker.record_crash(at(1000 * number), server(number), *request);
        }
    }
    tracker
}

/// A tracker of `count` crashes with only the crasher in flight.
pub fn tracker_against(count: u64) -> CrashTracker {
    let crashes: Vec<&[RequestKey]> = (0..count).map(|_| &[CRASHER][..]).collect();
    tracker_of(&crashes)
}
