use crate::keys::TimePoint;
use std::time::Duration;

const FAILURE_THRESHOLD: u32 = 2;
const INITIAL_PAUSE: Duration = Duration::from_millis(500);
const MAX_PAUSE: Duration = Duration::from_secs(2);
/// A trial without a reported result expires after this time, since the host that sent it may have
/// crashed.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(3);

/// Circuit breaker of one backend server.
///
/// It is closed while calls succeed and opens after repeated failures, for a pause that doubles
/// each time. After the pause it is half open and admits one trial call.
#[derive(Debug, Clone)]
pub struct CircuitBreaker {
    failures: u32,
    pause: Duration,
    open_until: Option<TimePoint>,
    trial_at: Option<TimePoint>,
}

impl Default for CircuitBreaker {
    fn default() -> Self {
        Self { failures: 0, pause: INITIAL_PAUSE, open_until: None, trial_at: None }
    }
}

impl CircuitBreaker {
    /// Whether new work may be sent at `now`. Does not use up the trial.
    pub fn admits(&self, now: TimePoint) -> bool {
        self.open_until.is_none_or(|until| now >= until && !self.trial_in_flight(now))
    }

    /// Records that work is sent, which uses up the single trial of a half-open breaker.
    pub fn record_sent(&mut self, now: TimePoint) {
        if self.open_until.is_some_and(|until| now >= until) {
            self.trial_at = Some(now);
        }
    }

    /// Records a successful call, which closes the breaker.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Records a call that was abandoned for reasons unrelated to the server. If it was the trial,
    /// another trial is admitted.
    pub fn record_abandoned(&mut self) {
        self.trial_at = None;
    }

    /// Records a call that failed or stalled at `now`.
    pub fn record_failure(&mut self, now: TimePoint) {
        self.failures += 1;
        if self.failures >= FAILURE_THRESHOLD || self.trial_in_flight(now) {
            self.trip(now);
        }
    }

    /// Opens the breaker immediately, for example when load polls go unanswered.
    pub fn trip(&mut self, now: TimePoint) {
        if self.open_until.is_some_and(|until| now < until) {
            return;
        }
        self.open_until = Some(now + self.pause);
        self.pause = (self.pause * 2).min(MAX_PAUSE);
        self.trial_at = None;
    }

    fn trial_in_flight(&self, now: TimePoint) -> bool {
        self.trial_at.is_some_and(|at| now.since(at) < TRIAL_TIMEOUT)
    }
}
