use crate::keys::{RequestKey, ServerKey};
use serde::{Deserialize, Serialize};

/// One crash of a server, as hosts tell each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashNews {
    /// The life of the server that ended.
    pub server: ServerKey,
    /// Milliseconds since it did.
    pub age_ms: u32,
    /// Milliseconds since one of the requests last came again.
    pub idle_ms: u32,
    /// Requests that were there and are not acquitted.
    pub requests: Vec<RequestKey>,
}

/// A request that had been at a crash and was answered whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcquittalNews {
    /// The request.
    pub request: RequestKey,
    /// Milliseconds since the answer.
    pub age_ms: u32,
}

/// What a host tells others of crashes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Crashes.
    pub crashes: Vec<CrashNews>,
    /// Acquittals.
    pub acquittals: Vec<AcquittalNews>,
}

impl CrashReport {
    /// Whether it tells nothing.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.acquittals.is_empty()
    }
}
