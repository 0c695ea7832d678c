use crate::claims::{ClaimKey, ClaimRequest, ClaimVerdict, KeyStatus, TicketId};
use crate::intents::ClusterConfig;
use crate::keys::{AttemptId, OrgKey, ServerKey};
use crate::membership::MemberUpdate;
use crate::placement::{DecodeQuote, PrefillQuote, RefusalReason, SlotClaim};
use crate::telemetry::SpanRecord;
use serde::{Deserialize, Serialize};

/// A request for placement offers, sent to the owners of servers. Times are relative to now, since
/// the hosts' clocks are not synchronised.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PlaceRequest {
    /// Attempt that the request is for.
    pub attempt: AttemptId,
    /// Organisation whose share it counts against.
    pub org: OrgKey,
    /// Model, as `name@version`.
    pub model: String,
    /// Number of prompt tokens.
    pub tokens: u32,
    /// Hashes of the prompt's blocks.
    pub blocks: Vec<u64>,
    /// Size of the KV cache in bytes.
    pub kv_bytes: u64,
    /// Time before which the prefill must not start, since its decode slot is not free earlier.
    pub not_before_in_micros: u64,
    /// Time left until the prefill must be finished.
    pub finish_in_micros: u64,
    /// Whole target time to the first token. Not used by this build; older ones decide by it.
    pub target_micros: u64,
    /// Prefill servers to quote.
    pub prefills: Vec<ServerKey>,
    /// Decode servers to quote.
    pub decodes: Vec<ServerKey>,
}

/// Reply to a [`PlaceRequest`]: quotes and refusals.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct PlaceOffers {
    /// Prefill offers.
    pub prefills: Vec<PrefillQuote>,
    /// Decode offers.
    pub decodes: Vec<DecodeQuote>,
    /// Refused servers, each with the reason and the microseconds after which to retry.
    pub refusals: Vec<(ServerKey, RefusalReason, u64)>,
}

/// A request to hold a decode slot and its share of the link.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HoldRequest {
    /// Decode server.
    pub server: ServerKey,
    /// Attempt that the request is for.
    pub attempt: AttemptId,
    /// Earliest time at which the KV cache can be handed over.
    pub earliest_in_micros: u64,
    /// Latest time at which it must be handed over for the first token to be on time.
    pub latest_in_micros: u64,
    /// Size of the KV cache in bytes.
    pub kv_bytes: u64,
    /// Maximum number of output tokens.
    pub max_tokens: u32,
}

/// A prefill owner's reply when the engine is ready for the attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum StartReply {
    /// The attempt may be sent now.
    Start {
        /// Expected work without the cached blocks.
        work_micros: u64,
    },
    /// The attempt is not started.
    Refused(RefusalReason),
}

/// Progress or end of an attempt on a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptReport {
    /// The prefill finished.
    Prefilled {
        /// Number of tokens computed.
        tokens: u32,
        /// Engine time used.
        took_micros: u64,
    },
    /// The KV cache arrived; decoding begins.
    Decoding {
        /// Maximum number of output tokens.
        max_tokens: u32,
    },
    /// The stream ended.
    Ended {
        /// Number of tokens produced.
        produced: u32,
    },
    /// The attempt was abandoned for a reason other than the server.
    GivenUp,
    /// The server failed or stalled.
    Failed,
}

/// Result of a claim at the host that batches the claims of its bucket.
pub type ClaimReply = ClaimVerdict;

/// Result of presenting a key or ticket to its claimant.
pub type PresentReply = KeyStatus;

/// A request between daemons.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Requests offers for an attempt.
    Quote(PlaceRequest),
    /// Requests the hold of a decode slot.
    Hold(HoldRequest),
    /// Queues an attempt at a prefill server; the reply is sent when the attempt may start.
    Enqueue(ServerKey, PlaceRequest),
    /// Reports a change of an attempt on a server.
    Report(ServerKey, AttemptId, AttemptReport),
    /// Requests the claims of the receiver's attempts on a server, sent by the server's new owner.
    Claims(ServerKey),
    /// Asks which of these attempts the receiver still works on.
    StillHeld(Vec<AttemptId>),
    /// Exchanges whole member tables.
    Sync(Vec<MemberUpdate>),
    /// Requests the configuration if it is newer than this version.
    Config(u64),
    /// Claims or releases a key.
    Claim(ClaimRequest),
    /// Presents a key that an attempt of the receiver's incarnation has claimed, with a hash of the body.
    Present(ClaimKey, AttemptId, u64),
    /// Presents a ticket of the receiver's incarnation with its request.
    Ticket {
        /// Id of the ticket.
        ticket: TicketId,
        /// Claim key of the organisation and ticket.
        key: ClaimKey,
        /// Hash of the service, path and body.
        body_hash: u64,
        /// Name of the service.
        service: String,
        /// Path within the service.
        path: String,
        /// Request body.
        body: Vec<u8>,
    },
    /// Hands a server's claims over from an owner that is draining.
    HandOver(ServerKey, Vec<SlotClaim>),
    /// Requests the spans of a trace.
    Spans(u128),
}

/// A reply between daemons.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerReply {
    /// Offers for an attempt.
    Offers(PlaceOffers),
    /// Microseconds from now until the held slot is free, or the reason of a refusal.
    Held(Result<u64, RefusalReason>),
    /// Whether the prefill may start.
    Start(StartReply),
    /// Acknowledges a report or a handover.
    Acknowledged,
    /// Claims of the sender's attempts on a server.
    Claims(Vec<SlotClaim>),
    /// The attempts that the sender still works on.
    StillHeld(Vec<AttemptId>),
    /// The sender's updates of all members.
    Members(Vec<MemberUpdate>),
    /// The newer configuration, if any.
    Config(Option<ClusterConfig>),
    /// Result of a claim.
    Claim(ClaimReply),
    /// Result of presenting a key or ticket.
    KeyStatus(PresentReply),
    /// Spans of the requested trace.
    Spans(Vec<SpanRecord>),
}
