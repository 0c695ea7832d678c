use crate::keys::RequestKey;
use crate::routes::ServiceKey;
use crate::server_limits::CallRank;
use std::time::Duration;

/// Why a caller is refused.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RefusalCause {
    /// No decode server has memory.
    NoMemory,
    /// An engine rejected it; there may be memory.
    EngineFailed,
    /// All servers of a plain service that were tried are full. Its ready servers run so many requests of this failure
    /// domain at a time, if all domains have the same share.
    NoPlace(f64),
    /// No server accepts requests; the next trial of one is due after the time, if that is known.
    NoServer(Option<Duration>),
}

/// A refused caller that needs a return time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReturnRequest {
    /// The service that it needs.
    pub service: ServiceKey,
    /// The rank of its request.
    pub rank: CallRank,
    /// Key of its request.
    pub key: RequestKey,
    /// Why it is refused.
    pub cause: RefusalCause,
    /// The pause if nothing better is known, with jitter.
    pub usual: Duration,
    /// Time until its deadline.
    pub time_left: Duration,
    /// Other living hosts in this failure domain.
    pub neighbours: usize,
    /// Random number in `0.0..1.0`.
    pub draw: f64,
}

impl ReturnRequest {
    /// The latest time after which it returns: callers do so no later than after a third of their time.
    pub fn latest(&self) -> Duration {
        self.time_left / 3
    }
}
