use crate::keys::TimePoint;
use std::time::Duration;

const OPEN_AFTER_FAILURES: u32 = 2;
const FIRST_PAUSE: Duration = Duration::from_millis(500);
const LONGEST_PAUSE: Duration = Duration::from_secs(2);
/// A trial that nobody reported on is forgotten, since its host may be gone.
const TRIAL_LIMIT: Duration = Duration::from_secs(3);

/// Circuit breaker of one backend server.
///
/// Closed while calls succeed; open for a doubling pause after repeated failures; half open after
/// the pause, when one trial may pass.
#[derive(Debug, Clone)]
pub struct CircuitBreaker {
    failures: u32,
    pause: Duration,
    open_until: Option<TimePoint>,
    trial_at: Option<TimePoint>,
}

impl Default for CircuitBreaker {
    fn default() -> Self {
        Self { failures: 0, pause: FIRST_PAUSE, open_until: None, trial_at: None }
    }
}

impl CircuitBreaker {
    /// Whether new work may be offered at `now`; does not consume the trial.
    pub fn admits(&self, now: TimePoint) -> bool {
        self.open_until.is_none_or(|until| now >= until && !self.trial_runs(now))
    }

    /// Takes the one trial of a half-open gate when work is really sent.
    pub fn record_sent(&mut self, now: TimePoint) {
        if self.open_until.is_some_and(|until| now >= until) {
            self.trial_at = Some(now);
        }
    }

    /// A call succeeded: the gate closes.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// A call was given up for reasons of its own: if it was the trial, another may pass.
    pub fn record_abandoned(&mut self) {
        self.trial_at = None;
    }

    /// A call failed or stalled at `now`.
    pub fn record_failure(&mut self, now: TimePoint) {
        self.failures += 1;
        if self.failures >= OPEN_AFTER_FAILURES || self.trial_runs(now) {
            self.trip(now);
        }
    }

    /// Opens the gate at once, as when load polls go unanswered.
    pub fn trip(&mut self, now: TimePoint) {
        if self.open_until.is_some_and(|until| now < until) {
            return;
        }
        self.open_until = Some(now + self.pause);
        self.pause = (self.pause * 2).min(LONGEST_PAUSE);
        self.trial_at = None;
    }

    fn trial_runs(&self, now: TimePoint) -> bool {
        self.trial_at.is_some_and(|at| now.since(at) < TRIAL_LIMIT)
    }
}
