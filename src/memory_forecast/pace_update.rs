use crate::keys::{IncarnationId, ServerKey};
use serde::{Deserialize, Serialize};

/// Most servers in one update, at up to 16 bytes each.
pub const MAX_PACES_SENT: usize = 64;

/// The pace of servers as one host knows it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PaceUpdate {
    /// The host that sends it.
    pub from: IncarnationId,
    /// The paces.
    pub paces: Vec<ServerPace>,
}

/// The pace of one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerPace {
    /// The server.
    pub server: ServerKey,
    /// Tokens per second of one run there; 0 if unknown.
    pub tokens_per_second: u16,
    /// Time since the last measurement, in tenths of a second.
    pub age_tenths: u16,
    /// Prompt tokens per millisecond of the fastest read that the sender itself saw there lately; 0 if unknown.
    pub read_tokens_per_ms: u8,
}
