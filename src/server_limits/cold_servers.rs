use super::ServerLimit;
use crate::keys::{ServerKey, TimePoint};
use std::collections::HashMap;

#[derive(Debug, Clone, Copy)]
struct ColdSpell {
    until: TimePoint,
    limit: ServerLimit,
}

/// Servers that have just started and bear little until they are warm.
///
/// Unlike a limit that a server names in its answers this one is known before the first request goes: entries say
/// how long a server is cold, and the configuration says what it bears meanwhile.
#[derive(Debug, Default)]
pub struct ColdServers {
    periods: HashMap<ServerKey, ColdSpell>,
}

impl ColdServers {
    /// A server bears `limit` until it is warm.
    pub fn record(&mut self, server: ServerKey, until: TimePoint, limit: ServerLimit) {
        self.periods.insert(server, ColdSpell { until, limit });
    }

    /// What a server bears now, if it is cold.
    pub fn limit(&self, now: TimePoint, server: ServerKey) -> Option<ServerLimit> {
        let spell = self.periods.get(&server)?;
        (now < spell.until).then_some(spell.limit)
    }

    /// Servers that are cold now.
    pub fn servers(&self, now: TimePoint) -> impl Iterator<Item = ServerKey> {
        let cold = self.periods.iter().filter(move |(_, spell)| now < spell.until);
        cold.map(|(server, _)| *server)
    }

    /// Forgets servers that are warm.
    pub fn expire(&mut self, now: TimePoint) {
        self.periods.retain(|_, spell| now < spell.until);
    }
}
