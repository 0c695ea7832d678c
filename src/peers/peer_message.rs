use crate::claims::{ClaimKey, ClaimRequest, ClaimVerdict, KeyStatus, TicketId};
use crate::intents::ClusterConfig;
use crate::keys::{AttemptId, OrgKey, ServerKey};
use crate::membership::MemberUpdate;
use crate::placement::{DecodeQuote, PrefillQuote, RefusalReason, SlotClaim};
use crate::telemetry::SpanRecord;
use serde::{Deserialize, Serialize};

/// What a request wants, as the owners of books need to know it. Times are from now, since clocks
/// are never agreed on.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PlaceRequest {
    /// The attempt.
    pub attempt: AttemptId,
    /// Whose share it counts against.
    pub org: OrgKey,
    /// Model, as `name@version`.
    pub model: String,
    /// Prompt tokens.
    pub tokens: u32,
    /// Hashes of the prompt's blocks.
    pub blocks: Vec<u64>,
    /// KV cache bytes.
    pub kv_bytes: u64,
    /// Time for which the prefill must not start, since its decode slot is not free before.
    pub not_before_in_micros: u64,
    /// Time left until the prefill must be finished.
    pub finish_in_micros: u64,
    /// The whole first-token target.
    pub target_micros: u64,
    /// Prefill servers asked for a quote.
    pub prefills: Vec<ServerKey>,
    /// Decode servers asked for a quote.
    pub decodes: Vec<ServerKey>,
}

/// Quotes and refusals.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct PlaceOffers {
    /// Prefill offers.
    pub prefills: Vec<PrefillQuote>,
    /// Decode offers.
    pub decodes: Vec<DecodeQuote>,
    /// Refusals, with when to ask again.
    pub refusals: Vec<(ServerKey, RefusalReason, u64)>,
}

/// Asks for a decode slot and its link share.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HoldRequest {
    /// The decode server.
    pub server: ServerKey,
    /// The attempt.
    pub attempt: AttemptId,
    /// When the KV cache can be handed over at the earliest.
    pub earliest_in_micros: u64,
    /// When it must be handed over at the latest for the first token to be in time.
    pub latest_in_micros: u64,
    /// Its size.
    pub kv_bytes: u64,
    /// Output tokens at most.
    pub max_tokens: u32,
}

/// A prefill owner's answer when the engine is ready for the attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum StartReply {
    /// Send it now.
    Start {
        /// Expected work, after cached blocks.
        work_micros: u64,
    },
    /// It will not be started.
    Refused(RefusalReason),
}

/// How an attempt's stay on a server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum StopReport {
    /// The prefill finished.
    Prefilled {
        /// Tokens computed.
        tokens: u32,
        /// Engine time.
        took_micros: u64,
    },
    /// The KV cache arrived; decoding begins.
    Decoding {
        /// Output tokens at most.
        max_tokens: u32,
    },
    /// The stream ended.
    Ended {
        /// Tokens produced.
        produced: u32,
    },
    /// The attempt was given up for reasons that are not the server's.
    GivenUp,
    /// The server failed or stalled.
    Failed,
}

/// What became of a claim at the bucket's batching host.
pub type ClaimReply = ClaimVerdict;

/// What a key or ticket met at its claimant.
pub type PresentedReply = KeyStatus;

/// A request between daemons.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Quote for an attempt.
    Quote(PlaceRequest),
    /// Hold a decode slot.
    Hold(HoldRequest),
    /// Queue at a prefill server; the reply waits for the start.
    Enqueue(ServerKey, PlaceRequest),
    /// An attempt's stay on a server changed.
    Report(ServerKey, AttemptId, StopReport),
    /// A new owner asks what this host's attempts claim on a server.
    Claims(ServerKey),
    /// Which of these attempts does this host still work for?
    StillHeld(Vec<AttemptId>),
    /// Compare membership.
    Sync(Vec<MemberUpdate>),
    /// The configuration, if newer than this version.
    Config(u64),
    /// Claim or give back a key.
    Claim(ClaimRequest),
    /// A key that an attempt of this incarnation claimed is presented again, with a body hash.
    Present(ClaimKey, AttemptId, u64),
    /// A ticket of this incarnation is presented with its request.
    Ticket {
        /// The ticket.
        ticket: TicketId,
        /// The claim key of organisation and ticket.
        key: ClaimKey,
        /// Hash of service, path and body.
        body_hash: u64,
        /// The service.
        service: String,
        /// Path within it.
        path: String,
        /// The body.
        body: Vec<u8>,
    },
    /// A leaving owner hands its book over.
    HandOver(ServerKey, Vec<SlotClaim>),
    /// Spans of a trace.
    Spans(u128),
}

/// A reply between daemons.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerReply {
    /// Quotes.
    Offers(PlaceOffers),
    /// When the held slot will be free, in microseconds from now.
    Held(Result<u64, RefusalReason>),
    /// The prefill may start, or not.
    Start(StartReply),
    /// Taken note.
    Acknowledged,
    /// Claims on a server.
    Claims(Vec<SlotClaim>),
    /// Those of the attempts that are still worked for.
    StillHeld(Vec<AttemptId>),
    /// All news about members.
    Members(Vec<MemberUpdate>),
    /// A newer configuration, if any.
    Config(Option<ClusterConfig>),
    /// What became of a claim.
    Claim(ClaimReply),
    /// What a key or ticket met.
    KeyStatus(PresentedReply),
    /// Spans.
    Spans(Vec<SpanRecord>),
}
