use crate::keys::{AttemptId, TimePoint};
use serde::{Deserialize, Serialize};

/// State of a decode slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotUse {
    /// Reserved for an attempt whose KV cache has not arrived yet.
    Held {
        /// When the KV cache is expected to arrive.
        handoff_at: TimePoint,
        /// When the reservation expires.
        expires_at: TimePoint,
    },
    /// The attempt is decoding.
    Running,
    /// The engine holds an attempt that no host has reported to this owner.
    Untracked {
        /// When the owner first saw the attempt.
        seen_at: TimePoint,
    },
}

/// One entry of a slot table.
#[derive(Debug, Clone, Copy)]
pub struct SlotEntry {
    /// The attempt that occupies the slot.
    pub attempt: AttemptId,
    /// State of the slot.
    pub slot_use: SlotUse,
    /// When the slot entered this state.
    pub since: TimePoint,
    /// When the host of the attempt last confirmed it.
    pub confirmed_at: TimePoint,
    /// Maximum number of output tokens.
    pub max_tokens: u32,
}

/// A claim on a slot that a live host reports to a new owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotClaim {
    /// The attempt that claims the slot.
    pub attempt: AttemptId,
    /// Whether it is already decoding.
    pub running: bool,
    /// Maximum number of output tokens.
    pub max_tokens: u32,
}
