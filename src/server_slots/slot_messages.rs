use crate::keys::{IncarnationId, ServerKey};
use crate::server_limits::CallRank;
use serde::{Deserialize, Serialize};

/// A message between a host and the owner of a contended server. Any of them may be lost, late or duplicated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SlotMessage {
    /// Requests a place.
    Request(PlaceRequest),
    /// The owner's reply.
    Reply(PlaceReply),
    /// Releases a place, or withdraws a request for one.
    Release(PlaceRelease),
    /// A server rejected a request that had no place.
    Rejected {
        /// The sender.
        from: IncarnationId,
        /// The server.
        server: ServerKey,
    },
    /// The owner announces to all hosts that a server is contended.
    Contended {
        /// The sender.
        from: IncarnationId,
        /// The server.
        server: ServerKey,
        /// How much longer it counts as contended unless this is announced again, in milliseconds.
        remaining_ms: u16,
    },
}

/// A host's request for a place at a server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlaceRequest {
    /// The sender.
    pub from: IncarnationId,
    /// Increases with each request of the host; with the sender, it identifies the place.
    pub sequence: u32,
    /// The server.
    pub server: ServerKey,
    /// The order in which requests get places.
    pub order: PlaceOrder,
    /// How long the request may wait at the owner, in milliseconds.
    pub wait_ms: u16,
    /// Time until the deadline of the request's caller, in milliseconds.
    pub left_ms: u16,
    /// Requests of the sender that run at the server without a place.
    pub unplaced: u16,
    /// Places at the server that the sender released lately, since the messages that released them may be lost.
    pub released: Vec<u32>,
}

/// The order in which waiting requests get places; lower ones first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PlaceOrder {
    /// The urgency of the request.
    pub rank: CallRank,
    /// Whether the request may run more than once. One that may not comes first, since it cannot be sent to a second
    /// server after a failure.
    pub is_repeatable: bool,
}

/// The owner's decision on a request for a place.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlaceDecision {
    /// The place is granted.
    Granted,
    /// No place is free, and none becomes free in the time for which the request may wait.
    Busy {
        /// Milliseconds until a place is expected to be free for this request.
        wait_ms: u16,
        /// Mean service time of the server in milliseconds.
        service_ms: u16,
    },
    /// The receiver does not grant places at this server.
    NotOwner,
}

/// The owner's reply to a request for a place.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlaceReply {
    /// The sender.
    pub from: IncarnationId,
    /// Sequence of the request.
    pub sequence: u32,
    /// The decision.
    pub decision: PlaceDecision,
}

/// How the use of a place ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlaceEnd {
    /// The server answered.
    Served,
    /// The server rejected the request because it was full.
    Rejected,
    /// The place was not used, or the request ended without an answer.
    Unused,
}

/// Releases a place.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlaceRelease {
    /// The sender.
    pub from: IncarnationId,
    /// Sequence of the request for the place.
    pub sequence: u32,
    /// The server.
    pub server: ServerKey,
    /// How the use of the place ended.
    pub end: PlaceEnd,
    /// For how long the place was used, in milliseconds.
    pub held_ms: u16,
}
