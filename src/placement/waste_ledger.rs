use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Why completed or partial prefill work was wasted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum WasteCause {
    /// The result expired before it was transferred.
    Expired,
    /// The caller disconnected.
    Cancelled,
    /// The decode server failed or refused the request, and the prefill had to be repeated.
    DecodeFailed,
    /// The prefill server failed or stalled.
    PrefillFailed,
}

impl WasteCause {
    /// All causes, in the order of the metrics.
    pub const ALL: [Self; 4] =
        [Self::Expired, Self::Cancelled, Self::DecodeFailed, Self::PrefillFailed];

    /// The name used in metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Expired => "expired",
            Self::Cancelled => "cancelled",
            Self::DecodeFailed => "decode_failed",
            Self::PrefillFailed => "prefill_failed",
        }
    }
}

/// Total prefill work, and how much of it was wasted for each cause.
#[derive(Debug, Clone, Default)]
pub struct WasteLedger {
    done: Duration,
    wasted: [Duration; WasteCause::ALL.len()],
}

impl WasteLedger {
    /// Adds prefill work that an engine performed.
    pub fn record_done(&mut self, work: Duration) {
        self.done += work;
    }

    /// Adds prefill work that was wasted.
    pub fn record_wasted(&mut self, cause: WasteCause, work: Duration) {
        self.wasted[cause as usize] += work;
    }

    /// Total prefill work.
    pub fn done(&self) -> Duration {
        self.done
    }

    /// Prefill work wasted because of `cause`.
    pub fn wasted(&self, cause: WasteCause) -> Duration {
        self.wasted[cause as usize]
    }
}
