//! Times, a server and its limits, shared by tests.

#![allow(dead_code, reason = "each test file uses a part of it")]

use tealcleat::keys::{NameKey, ServerKey, TimePoint};
use tealcleat::server_limits::{LimitUpdate, ServerLimit};

/// A time at which hosts have been running for a while.
pub fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(100_000 + millis)
}

/// The server that has a limit.
pub fn server() -> ServerKey {
    NameKey::of("i-service-0")
}

/// A limit in requests a second.
pub fn limit(text: &str) -> ServerLimit {
    ServerLimit::try_from(text).expect("a limit")
}

/// A host's update about the limit of the server.
pub fn update(version: u32, text: Option<&str>) -> LimitUpdate {
    LimitUpdate { server: server(), version, limit: text.map(limit) }
}
