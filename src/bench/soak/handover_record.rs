use super::first_try::{FirstTry, TryPlan};
use super::soak_check::SoakViolation;
use rand::rngs::StdRng;
use std::time::Duration;

const TRY_PAUSE: Duration = Duration::from_millis(30);
/// Number of requests that a violation names.
const NAMED: usize = 4;

/// What was found.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HandoverTally {
    /// Orders that engines accepted while the lease changed hands.
    pub orders: usize,
    /// Calls that ended before the end of a cut.
    pub given_up: usize,
    /// Requests to hosts in touch after a server had left.
    pub asked: usize,
}

/// The draws of the check of handovers, and what it has found so far.
#[derive(Debug)]
pub(super) struct HandoverRecord {
    pub random: StdRng,
    pub tally: HandoverTally,
    pub tries: Vec<FirstTry>,
    pub violations: Vec<SoakViolation>,
}

impl HandoverRecord {
    /// Begins a record.
    pub fn new(random: StdRng) -> Self {
        let tally = HandoverTally::default();
        Self { random, tally, tries: Vec::new(), violations: Vec::new() }
    }

    /// Records the requests that broke a guarantee, if there are any.
    pub fn record_broken(&mut self, guarantee: &'static str, requests: &[String]) {
        if requests.is_empty() {
            return;
        }
        let named: Vec<&str> = requests.iter().take(NAMED).map(String::as_str).collect();
        let detail = format!("{}: {}", requests.len(), named.join(", "));
        self.violations.push(SoakViolation { guarantee, detail });
    }
}

/// Tries that are spread evenly over the hosts.
pub(super) const fn even_tries(time: Duration) -> TryPlan {
    TryPlan { time, pause: TRY_PAUSE, target: None, tokens: None }
}
