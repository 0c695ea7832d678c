use std::time::Duration;

/// Weight of one answer in the mean: about the last 16 count, which a host with a few requests a second sees within
/// seconds.
const ANSWER_WEIGHT: f64 = 1.0 / 16.0;

/// Mean time in which the servers of a plain service answer, waiting in their queues included.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct AnswerTimer {
    mean_seconds: Option<f64>,
}

impl AnswerTimer {
    /// Records an answer.
    pub fn record(&mut self, took: Duration) {
        let seconds = took.as_secs_f64();
        let mean = self.mean_seconds.unwrap_or(seconds);
        self.mean_seconds = Some((seconds - mean).mul_add(ANSWER_WEIGHT, mean));
    }

    /// The mean time; `None` before the first answer.
    pub fn mean(&self) -> Option<Duration> {
        self.mean_seconds.map(Duration::from_secs_f64)
    }
}
