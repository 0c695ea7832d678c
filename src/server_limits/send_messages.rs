use super::{CallRank, LimitUpdate, SendHistory};
use serde::{Deserialize, Serialize};

/// What a host wants of a server's owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitPurpose {
    /// To send a request.
    Send,
    /// To know when a caller may come back that is refused now.
    RetryAfter,
    /// Nothing: a request that was granted did not go.
    Release,
    /// Nothing: it tells what it sent.
    Report,
}

impl PermitPurpose {
    /// Whether a reply is waited for.
    pub fn wants_reply(self) -> bool {
        matches!(self, Self::Send | Self::RetryAfter)
    }
}

/// A host asks the owner of a server that has a limit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Rises with each question of the host.
    pub sequence: u32,
    /// What the host knows of the limit.
    pub update: LimitUpdate,
    /// What it wants.
    pub purpose: PermitPurpose,
    /// How urgent the request is.
    pub rank: CallRank,
    /// What it sent to the server lately.
    pub history: SendHistory,
}

/// What an owner decided.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitDecision {
    /// The request may go.
    Granted,
    /// It may not; another one may be asked for after so many milliseconds.
    Refused {
        /// Milliseconds.
        wait_ms: u32,
    },
}

/// The owner's reply.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct PermitReply {
    /// Sequence of the question.
    pub sequence: u32,
    /// What the owner knows of the limit.
    pub update: LimitUpdate,
    /// What it decided.
    pub decision: PermitDecision,
}

/// A server that has a limit answered a request; told to its owner, who counts answers without it.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LimitObservation {
    /// What the host knows of the limit.
    pub update: LimitUpdate,
    /// The answer named it.
    pub is_named: bool,
}
