use super::{CallRank, LimitUpdate, SendHistory};
use serde::{Deserialize, Serialize};

/// Why a host sends a message to the owner of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitPurpose {
    /// The host wants to send a request.
    Send,
    /// The host refuses a caller and wants to know when the caller may retry.
    RetryAfter,
    /// The host did not send a request that was granted. No reply is expected.
    Release,
    /// The host reports what it sent. No reply is expected.
    Report,
}

impl PermitPurpose {
    /// Whether the host waits for a reply.
    pub fn wants_reply(self) -> bool {
        matches!(self, Self::Send | Self::RetryAfter)
    }
}

/// A host's request to the owner of a server that has a limit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Increases with each request of the host.
    pub sequence: u32,
    /// What the host knows about the limit.
    pub update: LimitUpdate,
    /// Why the host sends the message.
    pub purpose: PermitPurpose,
    /// The urgency of the request.
    pub rank: CallRank,
    /// What the host recently sent to the server.
    pub history: SendHistory,
}

/// The decision of an owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitDecision {
    /// The request may be sent.
    Granted,
    /// The request may not be sent.
    Refused {
        /// Milliseconds until a permit may be requested again.
        wait_ms: u32,
    },
}

/// The owner's reply.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct PermitReply {
    /// Sequence of the request.
    pub sequence: u32,
    /// What the owner knows about the limit.
    pub update: LimitUpdate,
    /// The owner's decision.
    pub decision: PermitDecision,
}

/// Reports to the owner that a server that has a limit answered a request. The owner counts the answers that do not
/// name the limit.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LimitObservation {
    /// What the host knows about the limit.
    pub update: LimitUpdate,
    /// Whether the answer named the limit.
    pub is_named: bool,
}
