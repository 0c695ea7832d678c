use crate::keys::{RequestKey, ServerKey};
use serde::{Deserialize, Serialize};

/// A request that was at a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct InterruptedRequest {
    /// The request.
    pub request: RequestKey,
    /// Milliseconds for which the oldest of its runs had been there.
    pub ran_ms: u32,
}

impl From<RequestKey> for InterruptedRequest {
    /// A request of which it is not known how long it had been there.
    fn from(request: RequestKey) -> Self {
        Self { request, ran_ms: 0 }
    }
}

/// One crash of a server, as hosts tell each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashUpdate {
    /// The life of the server that ended.
    pub server: ServerKey,
    /// Milliseconds since it did.
    pub age_ms: u32,
    /// Milliseconds since one of the requests last came again.
    pub idle_ms: u32,
    /// Requests that were there and are not acquitted.
    pub requests: Vec<InterruptedRequest>,
}

/// A request that had been at a crash and was answered whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClearanceUpdate {
    /// The request.
    pub request: RequestKey,
    /// Milliseconds since the answer.
    pub age_ms: u32,
}

/// What a host tells others of crashes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Crashes.
    pub crashes: Vec<CrashUpdate>,
    /// ClearanceTable.
    pub clearances: Vec<ClearanceUpdate>,
}

impl CrashReport {
    /// Whether it tells nothing.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.clearances.is_empty()
    }
}
