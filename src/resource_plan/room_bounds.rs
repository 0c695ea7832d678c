use std::time::Duration;

/// What the connections at one address may occupy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RoomBounds {
    /// Connections open at a time.
    pub connections: usize,
    /// Bytes of their buffers and of the heads of their requests.
    pub bytes: usize,
    /// Requests at work at a time that were sent before the answer to the one before them.
    pub requests_ahead: usize,
    /// Longest time for which the other side takes nothing of an answer.
    pub answer_stall: Duration,
}
