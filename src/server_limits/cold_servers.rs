use super::ServerLimit;
use crate::keys::{ServerKey, TimePoint};
use std::collections::HashMap;

#[derive(Debug, Clone, Copy)]
struct ColdPeriod {
    until: TimePoint,
    limit: ServerLimit,
}

/// Servers that have just started and have a lower capacity until they are warm.
///
/// Unlike a limit that a server names in its answers, this limit is known before the first request is sent: the entry of
/// a server states how long it stays cold, and the configuration states its limit during that time.
#[derive(Debug, Default)]
pub struct ColdServers {
    periods: HashMap<ServerKey, ColdPeriod>,
}

impl ColdServers {
    /// Records that a server stays cold, with `limit`, until `until`.
    pub fn record(&mut self, server: ServerKey, until: TimePoint, limit: ServerLimit) {
        self.periods.insert(server, ColdPeriod { until, limit });
    }

    /// The limit of a server, if it is cold now.
    pub fn limit(&self, now: TimePoint, server: ServerKey) -> Option<ServerLimit> {
        let period = self.periods.get(&server)?;
        (now < period.until).then_some(period.limit)
    }

    /// Servers that are cold now.
    pub fn servers(&self, now: TimePoint) -> impl Iterator<Item = ServerKey> {
        let cold = self.periods.iter().filter(move |(_, period)| now < period.until);
        cold.map(|(server, _)| *server)
    }

    /// Drops servers that are warm.
    pub fn expire(&mut self, now: TimePoint) {
        self.periods.retain(|_, period| now < period.until);
    }
}
