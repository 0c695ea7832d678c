use crate::keys::{AttemptId, TimePoint};
use serde::{Deserialize, Serialize};

/// How a decode slot is used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotUse {
    /// Promised to an attempt whose prefill has not arrived yet.
    Held {
        /// When the KV cache is expected.
        handoff_at: TimePoint,
        /// When the promise lapses by itself.
        expires_at: TimePoint,
    },
    /// The attempt decodes.
    Running,
    /// The engine holds an attempt that nobody told this owner about.
    Untracked {
        /// When the owner first saw it.
        seen_at: TimePoint,
    },
}

/// One entry of a slot book.
#[derive(Debug, Clone, Copy)]
pub struct SlotEntry {
    /// Whose slot it is.
    pub attempt: AttemptId,
    /// How it is used.
    pub slot_use: SlotUse,
    /// When the entry took its present use.
    pub since: TimePoint,
    /// When its host last vouched for it.
    pub confirmed_at: TimePoint,
    /// Output tokens at most.
    pub max_tokens: u32,
}

/// A claim on a slot as a living host tells it to a new owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotClaim {
    /// The claiming attempt.
    pub attempt: AttemptId,
    /// Whether it decodes already.
    pub running: bool,
    /// Output tokens at most.
    pub max_tokens: u32,
}
