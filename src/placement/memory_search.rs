use super::REMOTE_DOMAIN_PENALTY;
use crate::keys::{NameKey, ServerKey, TimePoint};
use std::collections::HashSet;
use std::time::Duration;

/// Time limit of one search, sufficient for a second round over a small number of servers. A longer
/// wait rarely succeeds and only delays the caller's retry.
const SEARCH_TIMEOUT: Duration = Duration::from_millis(60);
/// Pause after all servers have refused, during which about one running answer ends.
const ROUND_PAUSE: Duration = Duration::from_millis(25);
/// Maximum number of requests in one search. Each of them may need a new connection.
const MAX_REQUESTS: usize = 18;
/// After this many refusals in the local failure domain, the search no longer prefers that domain.
/// Refusals are more reliable than the loads that other hosts announce: a host among 300 receives
/// two in five of the load updates of its own domain and one in fifteen of the others.
const MAX_LOCAL_REFUSALS: usize = 3;

/// The next step of a search.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SearchStep {
    /// Request memory from this server.
    Request(ServerKey),
    /// All servers have refused; start the next round after this time.
    Pause(Duration),
    /// No server has memory for the request.
    Refuse,
}

/// The search of one request for free memory on a decode server.
///
/// Each server is tried once before any server is tried again. In a burst on hundreds of servers,
/// the few that rank best by stale load updates fill up at the same time while others still have
/// memory.
#[derive(Debug, Clone)]
pub struct MemorySearch {
    started_at: TimePoint,
    local_domain: NameKey,
    tried: HashSet<ServerKey>,
    request_count: usize,
    local_refusals: usize,
}

impl MemorySearch {
    /// Starts a search from a host in the failure domain `local_domain`.
    pub fn new(now: TimePoint, local_domain: NameKey) -> Self {
        Self {
            started_at: now,
            local_domain,
            tried: HashSet::new(),
            request_count: 0,
            local_refusals: 0,
        }
    }

    /// Ranking penalty of servers in other failure domains for the next step, as a fraction of a
    /// full server.
    pub fn remote_penalty(&self) -> f64 {
        if self.local_refusals < MAX_LOCAL_REFUSALS { REMOTE_DOMAIN_PENALTY } else { 0.0 }
    }

    /// Returns the next step; `ranked` lists the available servers from best to worst.
    pub fn next(&mut self, now: TimePoint, ranked: impl Iterator<Item = ServerKey>) -> SearchStep {
        let elapsed = now.since(self.started_at);
        if self.request_count >= MAX_REQUESTS || elapsed > SEARCH_TIMEOUT {
            return SearchStep::Refuse;
        }
        let mut ranked = ranked.peekable();
        if ranked.peek().is_none() {
            return SearchStep::Refuse;
        }
        if let Some(key) = ranked.find(|key| !self.tried.contains(key)) {
            self.tried.insert(key);
            self.request_count += 1;
            return SearchStep::Request(key);
        }
        if elapsed + ROUND_PAUSE > SEARCH_TIMEOUT {
            return SearchStep::Refuse;
        }
        self.tried.clear();
        SearchStep::Pause(ROUND_PAUSE)
    }

    /// Number of requests sent so far, including repeated requests to the same server.
    pub fn request_count(&self) -> usize {
        self.request_count
    }

    /// Records that a server of `domain` had no free memory.
    pub fn record_refusal(&mut self, domain: NameKey) {
        if domain == self.local_domain {
            self.local_refusals += 1;
        }
    }
}
