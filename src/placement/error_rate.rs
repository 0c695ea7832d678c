use crate::keys::TimePoint;
use std::time::Duration;

/// Weight of one answer, so that about the last eight answers count.
const ANSWER_WEIGHT: f64 = 0.12;
/// Half-life without answers, so that what has recovered is tried again.
const HALF_LIFE: Duration = Duration::from_secs(3);

/// Decaying fraction of recent answers that were errors or refusals, from 0 to 1.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ErrorRate {
    rate: f64,
    updated_at: TimePoint,
}

impl ErrorRate {
    /// Records an answer.
    pub fn record(&mut self, now: TimePoint, is_error: bool) {
        let rate = self.at(now);
        let error = if is_error { 1.0 } else { 0.0 };
        self.rate = rate + (error - rate) * ANSWER_WEIGHT;
        self.updated_at = now;
    }

    /// Whether the effect of the last error has worn off: as many answers without one followed, or as much time passed, as
    /// leave less than half of what one error adds.
    pub fn is_clear(&self, now: TimePoint) -> bool {
        self.at(now) < ANSWER_WEIGHT / 2.0
    }

    /// The rate at `now`.
    pub fn at(&self, now: TimePoint) -> f64 {
        let half_lives = now.since(self.updated_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.rate * 0.5_f64.powf(half_lives)
    }
}
