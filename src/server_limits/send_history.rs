use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Number of requests sent within one short interval.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryPoint {
    /// Age in milliseconds when the history was created.
    pub age_ms: u16,
    /// Number of requests.
    pub count: u16,
}

/// Requests that one host recently sent to one server, oldest first.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SendHistory(pub Vec<HistoryPoint>);

impl SendHistory {
    /// Age and count of the sends within the last `span`, when `elapsed` has passed since the history was created.
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

    /// Adds a request that is sent at the moment the history was created.
    pub fn add_now(&mut self) {
        self.0.push(HistoryPoint { age_ms: 0, count: 1 });
    }
}
