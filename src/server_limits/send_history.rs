use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Requests sent within one short time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryPoint {
    /// Milliseconds before the trail was made.
    pub age_ms: u16,
    /// Requests.
    pub count: u16,
}

/// Requests that one host sent to one server in the last seconds, oldest first.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SendHistory(pub Vec<HistoryPoint>);

impl SendHistory {
    /// Age and count of what was sent within the last `span`, as of `elapsed` after the trail was made.
    pub fn within(
        &self,
        elapsed: Duration,
        span: Duration,
    ) -> impl Iterator<Item = (Duration, u32)> {
        let aged = self.0.iter().map(move |point| {
            (elapsed + Duration::from_millis(point.age_ms.into()), u32::from(point.count))
        });
        aged.filter(move |(age, _)| *age < span)
    }

    /// Adds a request that goes as the trail is made.
    pub fn add_now(&mut self) {
        self.0.push(HistoryPoint { age_ms: 0, count: 1 });
    }
}
