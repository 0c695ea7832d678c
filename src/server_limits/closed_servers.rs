use super::CallRank;
use crate::keys::{ServerKey, TimePoint};
use std::collections::HashMap;
use std::time::Duration;

#[derive(Debug, Clone, Copy)]
struct ServerClosure {
    until: TimePoint,
    /// Requests of this rank, and less urgent ones, were refused.
    rank: CallRank,
}

/// Servers whose owners refused this host's requests, until they may be asked again.
#[derive(Debug, Default)]
pub struct ClosedServers {
    closures: HashMap<ServerKey, ServerClosure>,
}

impl ClosedServers {
    /// A request was refused and may be asked for again after `wait`.
    pub fn record(&mut self, now: TimePoint, server: ServerKey, rank: CallRank, wait: Duration) {
        self.closures.insert(server, ServerClosure { until: now + wait, rank });
    }

    /// When requests of a rank may be asked for again, if that is not yet.
    pub fn closed_for(
        &self,
        now: TimePoint,
        server: ServerKey,
        rank: CallRank,
    ) -> Option<Duration> {
        let closure = self.closures.get(&server).filter(|closure| rank >= closure.rank)?;
        (now < closure.until).then(|| closure.until.since(now))
    }

    /// Forgets those that may be asked again.
    pub fn expire(&mut self, now: TimePoint) {
        self.closures.retain(|_, closure| now < closure.until);
    }
}
