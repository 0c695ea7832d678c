use super::ServerStanding;
use crate::fleet::ServerEntry;
use crate::keys::ServerKey;
use std::collections::HashMap;

/// Standings of the servers of one pool; servers that are not named are trusted.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PoolStandings {
    standings: HashMap<ServerKey, ServerStanding>,
}

impl PoolStandings {
    pub(super) fn insert(&mut self, server: ServerKey, standing: ServerStanding) {
        if standing != ServerStanding::Trusted {
            self.standings.insert(server, standing);
        }
    }

    /// The standing of a server.
    pub fn of(&self, server: ServerKey) -> ServerStanding {
        self.standings.get(&server).copied().unwrap_or(ServerStanding::Trusted)
    }

    /// Whether all servers are trusted.
    pub fn is_empty(&self) -> bool {
        self.standings.is_empty()
    }

    /// Whether a request may be sent to a server; `may_try` says whether it can be repeated if a trial fails.
    pub fn admits(&self, server: ServerKey, may_try: bool) -> bool {
        match self.of(server) {
            ServerStanding::Trusted
            | ServerStanding::Doubtful
            | ServerStanding::LastResort
            | ServerStanding::AnyTrial => true,
            ServerStanding::Trial => may_try,
            ServerStanding::Excluded => false,
        }
    }

    /// Reorders ranked servers. A server on trial comes first for requests that can be repeated, so that the trial takes
    /// place although the pool has better servers; requests that run only once use doubtful servers after others.
    pub fn reorder(&self, ranked: &mut [ServerEntry], is_repeatable: bool, may_try: bool) {
        ranked.sort_by_key(|server| match self.of(server.key()) {
            // Also for requests that run only once: no repeatable one came in time.
            ServerStanding::AnyTrial => 0,
            ServerStanding::Trial if may_try => 0,
            ServerStanding::Trusted => 1,
            ServerStanding::Doubtful if is_repeatable => 1,
            ServerStanding::Doubtful => 2,
            ServerStanding::LastResort | ServerStanding::Trial | ServerStanding::Excluded => 3,
        });
    }
}
