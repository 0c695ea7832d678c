use super::CallRank;
use crate::keys::{ServerKey, TimePoint};
use std::collections::HashMap;
use std::time::Duration;

#[derive(Debug, Clone, Copy)]
struct ServerClosure {
    until: TimePoint,
    /// Requests of this rank and less urgent ones are not sent.
    rank: CallRank,
}

/// Servers whose owners refused this host's requests, until a permit may be requested again.
#[derive(Debug, Default)]
pub struct ClosedServers {
    closures: HashMap<ServerKey, ServerClosure>,
}

impl ClosedServers {
    /// Records that a request of `rank` was refused; a permit may be requested again after `wait`.
    pub fn record(&mut self, now: TimePoint, server: ServerKey, rank: CallRank, wait: Duration) {
        self.closures.insert(server, ServerClosure { until: now + wait, rank });
    }

    /// How long until a permit for a request of a rank may be requested again; `None` if it may be requested now.
    pub fn closed_for(
        &self,
        now: TimePoint,
        server: ServerKey,
        rank: CallRank,
    ) -> Option<Duration> {
        let closure = self.closures.get(&server).filter(|closure| rank >= closure.rank)?;
        (now < closure.until).then(|| closure.until.since(now))
    }

    /// Drops servers for which a permit may be requested again.
    pub fn expire(&mut self, now: TimePoint) {
        self.closures.retain(|_, closure| now < closure.until);
    }
}
