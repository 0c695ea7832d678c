use std::time::Duration;

/// What a machine allows one process, and what a process allows its callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MachineLimits {
    /// Memory, in millions of bytes.
    pub memory_mb: u64,
    /// Open files and sockets.
    pub max_fds: u64,
    /// Requests at work at a time that were sent before the answer to the one before them on their connection.
    pub requests_ahead: usize,
    /// Longest time for which a caller takes nothing of its answer.
    pub answer_stall: Duration,
}

impl Default for MachineLimits {
    /// Those of the smallest deployment.
    fn default() -> Self {
        Self {
            memory_mb: 110,
            max_fds: 4100,
            requests_ahead: 8,
            answer_stall: Duration::from_secs(30),
        }
    }
}
