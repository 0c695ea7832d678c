use super::CallResult;
use std::time::Duration;

/// One completion's figures.
#[derive(Debug, Clone)]
pub struct CallRecord {
    /// When it was sent, from the start of the run.
    pub at: Duration,
    /// Who sent it.
    pub organisation: &'static str,
    /// Whether its prompt is long.
    pub long: bool,
    /// Its prompt tokens.
    pub tokens: u32,
    /// Whether its caller meant to leave early.
    pub leaves: bool,
    /// How it ended.
    pub result: CallResult,
    /// Whether the answer was exactly the expected one.
    pub right: bool,
    /// The router's name of it.
    pub request: Option<String>,
    /// Time to the first token.
    pub first_token: Option<Duration>,
    /// The 95th percentile of its gaps between tokens.
    pub gap_p95: Option<Duration>,
    /// Why it was refused.
    pub reason: String,
}

/// Everything that a run saw.
#[derive(Debug, Default)]
pub struct LoadTally {
    /// Completions.
    pub calls: Vec<CallRecord>,
    /// Bodies of calls told "not run" and never told anything else.
    pub once_not_run: Vec<String>,
    /// Answers received for each once body.
    pub once_answers: Vec<(String, u32)>,
    /// Once calls sent, repeats not counted.
    pub once_sent: u64,
    /// Once calls that got a final answer of any kind.
    pub once_settled: u64,
    /// Connections that broke without a final answer.
    pub broken: u64,
}

impl CallRecord {
    /// Whether it met both targets with the whole, right answer.
    pub fn is_good(&self, first_token: Duration, between_tokens: Duration) -> bool {
        self.result == CallResult::Complete
            && self.right
            && self.first_token.is_some_and(|time| time <= first_token)
            && self.gap_p95.is_none_or(|gap| gap <= between_tokens)
    }
}

/// A percentile of some times; zero if there are none.
pub fn percentile(times: &mut [Duration], part: f64) -> Duration {
    if times.is_empty() {
        return Duration::ZERO;
    }
    times.sort_unstable();
    let place = ((times.len() as f64 * part).ceil() as usize).clamp(1, times.len());
    times[place - 1]
}
