use std::time::Duration;

/// What a return time is based on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReturnBasis {
    /// Capacity is expected to be free then.
    Free,
    /// No capacity is expected to be free while the caller can return; this is when the fewest requests compete for it.
    LeastDemand,
    /// The caller has too little time; it is told the latest time at which it returns.
    OutOfTime,
    /// Too little is known about the demand: the usual pause.
    Usual,
    /// The time in which servers of a plain service answer, and their demand.
    AnswerTime,
    /// No server accepts requests: when one is expected to be back.
    ServerBack,
}

impl ReturnBasis {
    /// Its name in logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Free => "free",
            Self::LeastDemand => "least_demand",
            Self::OutOfTime => "out_of_time",
            Self::Usual => "usual",
            Self::AnswerTime => "answer_time",
            Self::ServerBack => "server_back",
        }
    }
}

/// When a refused caller returns.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReturnTime {
    /// Time until it returns.
    pub pause: Duration,
    /// What the time is based on.
    pub basis: ReturnBasis,
    /// Requests granted in the last second, over the hosts whose figures are known.
    pub granted: u32,
    /// Requests that arrived in the last second besides promised returns, over the same hosts.
    pub fresh: u32,
    /// Promised returns of the same or a more urgent rank that are still to come.
    pub promised: usize,
}
