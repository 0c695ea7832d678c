use crate::intents::ServerRole;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Header with the id of a call. An engine repeats it in every answer, including refusals and errors.
pub const CALL_ID: &str = "tealcleat-call";

/// Asks a prefill engine to process a prompt.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PrefillCall {
    /// The attempt.
    pub attempt: String,
    /// The caller's request, for the engine's own log.
    pub request: String,
    /// Model name.
    pub model: String,
    /// Adapter, if any.
    pub adapter: Option<String>,
    /// The prompt.
    pub prompt: String,
    /// Answer tokens that were already generated; the answer continues after them.
    pub generated: Vec<String>,
}

/// Reply to a [`PrefillCall`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PrefillReply {
    /// Handle of the result, with which a decode engine fetches it.
    pub handle: u64,
    /// Number of prompt tokens that were computed.
    pub computed_tokens: u32,
    /// Number of prompt tokens that were found in the prefix cache.
    pub cached_tokens: u32,
    /// Size of the KV cache in bytes.
    pub kv_bytes: u64,
    /// Processing time in the engine, without the time in its queue.
    pub took_micros: u64,
}

/// Asks a decode engine to import a KV cache and generate.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DecodeCall {
    /// The attempt.
    pub attempt: String,
    /// The caller's request, for the engine's own log.
    pub request: String,
    /// The prefill engine that holds the result.
    pub source: SocketAddr,
    /// Handle of the prefill result.
    pub handle: u64,
    /// Index of the first token to generate.
    pub next_index: u32,
    /// Maximum number of answer tokens.
    pub max_tokens: u32,
}

/// Asks a decode engine to resume the stream of an attempt that it still holds.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ResumeCall {
    /// The attempt.
    pub attempt: String,
    /// Index of the first token to send.
    pub next_index: u32,
}

/// Asks an engine to cancel an attempt.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CancelCall {
    /// The attempt.
    pub attempt: String,
}

/// Reply to a [`CancelCall`] or to an order.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CancelReply {
    /// Whether the engine held the cancelled attempt; `false` in the reply to an order.
    pub held: bool,
}

/// One line of a decode stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StreamEvent {
    /// The KV cache arrived; decoding begins.
    Imported,
    /// One token.
    Token {
        /// Its index in the answer.
        index: u32,
        /// Its text.
        text: String,
    },
    /// The answer is complete.
    Done {
        /// Number of tokens in the whole answer.
        total: u32,
        /// `stop` or `length`.
        finish: String,
    },
    /// The attempt failed.
    Failed {
        /// `expired`, `full` or `lost`.
        reason: String,
    },
}

impl StreamEvent {
    /// Whether this event completes a stream.
    pub const fn is_last(&self) -> bool {
        match self {
            Self::Imported | Self::Token { .. } => false,
            Self::Done { .. } | Self::Failed { .. } => true,
        }
    }
}

/// A change of a prefill engine's prefix cache.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEvent {
    /// Blocks were stored.
    Stored(Vec<u64>),
    /// Blocks were evicted.
    Evicted(Vec<u64>),
}

/// Cache events after a sequence number.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Sequence number after the last event.
    pub next: u64,
    /// Whether events were lost; if so, the previously known cache contents are void.
    pub gap: bool,
    /// The events.
    pub events: Vec<CacheEvent>,
}

/// An engine's load report; it lags behind the engine's state.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Age of the report when it was sent, in milliseconds.
    pub age_ms: u64,
    /// Role of the engine.
    pub role: ServerRole,
    /// Loaded models, as `name@version`.
    pub models: Vec<String>,
    /// Whether the engine refuses new work.
    pub draining: bool,
    /// Highest fencing token of an order that the engine has accepted.
    pub fence: u64,
    /// Attempts that the engine holds, waiting or running.
    pub held: Vec<String>,
    /// Number of requests that the engine can run concurrently.
    pub capacity: u32,
    /// Queued work ahead of a new request, in milliseconds.
    pub backlog_ms: u64,
    /// Current duration of a decode step, in microseconds; zero if idle.
    pub step_micros: u64,
    /// Cache events after the requested sequence number.
    pub cache: CacheEvents,
}
