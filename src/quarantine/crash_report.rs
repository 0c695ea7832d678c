use crate::keys::{RequestKey, ServerKey};
use serde::{Deserialize, Serialize};

/// A request that was in flight at a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct InterruptedRequest {
    /// The request.
    pub request: RequestKey,
    /// Milliseconds from the start of its oldest run on the server to the crash.
    pub ran_ms: u32,
}

impl From<RequestKey> for InterruptedRequest {
    /// A request whose run time is unknown.
    fn from(request: RequestKey) -> Self {
        Self { request, ran_ms: 0 }
    }
}

/// One crash of a server, as hosts send it to each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashUpdate {
    /// The server incarnation that crashed.
    pub server: ServerKey,
    /// Milliseconds since the crash.
    pub age_ms: u32,
    /// Milliseconds since a caller last sent one of the requests again.
    pub idle_ms: u32,
    /// Requests that were in flight and are not cleared.
    pub requests: Vec<InterruptedRequest>,
}

/// A request that was in flight at a crash and was also answered in full.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClearanceUpdate {
    /// The request.
    pub request: RequestKey,
    /// Milliseconds since the answer.
    pub age_ms: u32,
}

/// What a host sends to other hosts about crashes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Crashes.
    pub crashes: Vec<CrashUpdate>,
    /// Requests that were cleared.
    pub clearances: Vec<ClearanceUpdate>,
}

impl CrashReport {
    /// Whether the report contains nothing.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.clearances.is_empty()
    }
}
