use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Limits on callers' requests, set by the operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestLimits {
    /// Maximum size of a request head in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// Maximum time for a request head to arrive.
    pub head_time: Duration,
    /// Maximum time that a caller's connection may be idle between requests.
    pub idle_time: Duration,
}

impl Default for RequestLimits {
    /// The limits in force until a configuration sets its own.
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}
