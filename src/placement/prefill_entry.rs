use crate::keys::{AttemptId, OrgKey, TimePoint};

/// A request for prefill on a server.
#[derive(Debug, Clone, Copy)]
pub struct PrefillRequest {
    /// The attempt that the prefill is for.
    pub attempt: AttemptId,
    /// The organisation whose share of the waiting work it counts against.
    pub org: OrgKey,
    /// Prompt tokens that are not cached on this server.
    pub tokens: u32,
    /// Earliest start, chosen so that the prefill does not finish before its decode slot is free.
    pub not_before: TimePoint,
    /// Deadline of the prefill for the first token to be in time.
    pub finish_by: TimePoint,
}

/// An admitted prefill that has not started yet.
#[derive(Debug, Clone, Copy)]
pub struct PrefillEntry {
    /// The request.
    pub request: PrefillRequest,
    /// Sort key: the deadline, postponed for organisations that have more than an equal share of the work waiting.
    pub rank: TimePoint,
    /// When it was admitted.
    pub queued_at: TimePoint,
}
