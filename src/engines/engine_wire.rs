use crate::intents::ServerRole;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Header with the id of a call; an engine sends it back with its answer, whatever the answer is.
pub const CALL_ID: &str = "tealcleat-call";

/// Asks a prefill engine to read a prompt.
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
    /// Tokens of the answer that were generated before, to continue after them.
    pub generated: Vec<String>,
}

/// A finished prefill.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PrefillReply {
    /// Names the result for its transfer.
    pub handle: u64,
    /// Tokens that had to be computed.
    pub computed_tokens: u32,
    /// Tokens that were cached.
    pub cached_tokens: u32,
    /// Size of the KV cache.
    pub kv_bytes: u64,
    /// Time it took the engine, without its queue.
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
    /// The result.
    pub handle: u64,
    /// Index of the first token to generate.
    pub next_index: u32,
    /// Tokens of the answer at most.
    pub max_tokens: u32,
}

/// Asks a decode engine to send the stream of an attempt that it still holds.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ResumeCall {
    /// The attempt.
    pub attempt: String,
    /// Index of the first token to send.
    pub next_index: u32,
}

/// Asks an engine to drop an attempt.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CancelCall {
    /// The attempt.
    pub attempt: String,
}

/// Whether the dropped attempt was held.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CancelReply {
    /// It was.
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
    /// The answer ended with this many tokens.
    Done {
        /// Tokens of the whole answer.
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
    /// Whether a stream is whole with it.
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
    /// Events were missed: what was known before is void.
    pub gap: bool,
    /// The events.
    pub events: Vec<CacheEvent>,
}

/// An engine's report of itself; it lags.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EngineLoad {
    /// How old the report was when it was sent, in milliseconds.
    pub age_ms: u64,
    /// Role of the engine.
    pub role: ServerRole,
    /// Models it holds, as `name@version`.
    pub models: Vec<String>,
    /// Whether it refuses new work.
    pub draining: bool,
    /// Highest fence obeyed.
    pub fence: u64,
    /// Attempts that it holds, waiting or running.
    pub held: Vec<String>,
    /// Requests that it runs at once.
    pub capacity: u32,
    /// Work before a new request could start, in milliseconds.
    pub backlog_ms: u64,
    /// Present time of a decode step, in microseconds; zero if idle.
    pub step_micros: u64,
    /// Cache events after the number asked for.
    pub cache: CacheEvents,
}
