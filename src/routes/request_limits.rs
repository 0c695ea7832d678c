use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Bounds on what a caller may send, set by the operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestLimits {
    /// Most bytes of a request head.
    pub head_bytes: usize,
    /// Most bytes of a request body.
    pub body_bytes: usize,
    /// Longest time that a request head may take to arrive.
    pub head_time: Duration,
    /// Longest time that a caller's connection may rest between requests.
    pub idle_time: Duration,
}

impl Default for RequestLimits {
    /// In force until a configuration names its own.
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}
