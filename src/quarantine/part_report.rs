use crate::keys::{PartKey, RequestKey, ServerKey};
use serde::{Deserialize, Serialize};

/// A request that had not written on its prompt when its server crashed, and the parts of the prompt that are not cleared.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRequest {
    /// The request.
    pub request: RequestKey,
    /// Milliseconds from the start of its run on the server to the crash.
    pub ran_ms: u32,
    /// Shared parts of its prompt.
    pub parts: Vec<PartKey>,
}

/// One crash of a server at which requests had not begun to write, as hosts send it to each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartCrash {
    /// The server incarnation that crashed.
    pub server: ServerKey,
    /// Milliseconds since the crash.
    pub age_ms: u32,
    /// These requests.
    pub requests: Vec<SuspectRequest>,
}

/// A part of a prompt on which a server has written, although another one had crashed with it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartClearance {
    /// The part.
    pub part: PartKey,
    /// Milliseconds since it was written on.
    pub age_ms: u32,
}

/// What a host sends to other hosts about parts of prompts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartReport {
    /// Crashes.
    pub crashes: Vec<PartCrash>,
    /// Parts that were cleared.
    pub clearances: Vec<PartClearance>,
}

impl PartReport {
    /// Whether the report contains nothing.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.clearances.is_empty()
    }
}
