use super::CallResult;
use std::time::Duration;

/// Measurements of one completion.
#[derive(Debug, Clone)]
pub struct CallRecord {
    /// Time from the start of the run at which it was sent.
    pub at: Duration,
    /// Organisation that sent it.
    pub organisation: &'static str,
    /// Whether its prompt is long.
    pub long: bool,
    /// Number of prompt tokens.
    pub tokens: u32,
    /// Whether its caller was to disconnect early.
    pub disconnects: bool,
    /// How it ended.
    pub result: CallResult,
    /// Whether a complete answer was the expected one, or an incomplete answer a prefix of it.
    pub is_correct: bool,
    /// Id that the router gave the request.
    pub request_id: Option<String>,
    /// Time to the first token.
    pub first_token: Option<Duration>,
    /// 95th percentile of the time between its tokens.
    pub gap_p95: Option<Duration>,
    /// Reason that the error reply gave.
    pub reason: String,
}

/// What the callers of a run observed.
#[derive(Debug, Default)]
pub struct LoadTally {
    /// Completions.
    pub calls: Vec<CallRecord>,
    /// Bodies of at-most-once calls for which at least one reply said "not run".
    pub once_not_run: Vec<String>,
    /// Number of answers received for each at-most-once body.
    pub once_answers: Vec<(String, u32)>,
    /// At-most-once calls sent, not counting duplicates.
    pub once_sent: u64,
    /// At-most-once calls that got a final answer of any kind.
    pub once_settled: u64,
    /// Connections that broke without a final answer.
    pub broken: u64,
}

impl CallRecord {
    /// Whether it met both targets with a complete and correct answer.
    pub fn is_good(&self, first_token: Duration, between_tokens: Duration) -> bool {
        self.result == CallResult::Complete
            && self.is_correct
            && self.first_token.is_some_and(|time| time <= first_token)
            && self.gap_p95.is_none_or(|gap| gap <= between_tokens)
    }
}

/// A percentile of `times`, for a quantile between 0 and 1; zero if there are no times.
pub fn percentile(times: &mut [Duration], quantile: f64) -> Duration {
    if times.is_empty() {
        return Duration::ZERO;
    }
    times.sort_unstable();
    let rank = ((times.len() as f64 * quantile).ceil() as usize).clamp(1, times.len());
    times[rank - 1]
}
