use crate::keys::{AttemptId, OrgKey, TimePoint};

/// What a request asks of a prefill server.
#[derive(Debug, Clone, Copy)]
pub struct PrefillRequest {
    /// The attempt that asks.
    pub attempt: AttemptId,
    /// Whose fair share the work counts against.
    pub org: OrgKey,
    /// Prompt tokens that are not cached on this server.
    pub tokens: u32,
    /// It must not start earlier, since its decode slot is not free before.
    pub not_before: TimePoint,
    /// When the prefill must be finished for the first token to be in time.
    pub finish_by: TimePoint,
    /// The time allowed from arrival to the first token; scales what counts as long.
    pub target_micros: u64,
}

/// One admitted prefill that waits for its start.
#[derive(Debug, Clone, Copy)]
pub struct PrefillEntry {
    /// What was asked.
    pub request: PrefillRequest,
    /// Place in the order: the deadline, put back for organisations ahead of their share.
    pub rank: TimePoint,
    /// When it was admitted.
    pub queued_at: TimePoint,
}
