use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Why finished or begun prefill work was of no use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum WasteCause {
    /// The result's life ended before it was transferred.
    Expired,
    /// The caller left.
    Cancelled,
    /// The decode server failed or refused and the prompt had to be prefilled again.
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

/// Prefill work done, and how much of it was wasted by which cause.
#[derive(Debug, Clone, Default)]
pub struct WasteLedger {
    done: Duration,
    wasted: [Duration; WasteCause::ALL.len()],
}

impl WasteLedger {
    /// Prefill work that an engine did.
    pub fn record_done(&mut self, work: Duration) {
        self.done += work;
    }

    /// Work that served nobody.
    pub fn record_wasted(&mut self, cause: WasteCause, work: Duration) {
        self.wasted[cause as usize] += work;
    }

    /// All prefill work.
    pub fn done(&self) -> Duration {
        self.done
    }

    /// Wasted work by `cause`.
    pub fn wasted(&self, cause: WasteCause) -> Duration {
        self.wasted[cause as usize]
    }
}
