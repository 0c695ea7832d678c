use super::REMOTE_DOMAIN_PENALTY;
use crate::keys::{NameKey, ServerKey};
use std::collections::HashSet;
use std::time::Duration;

/// Pause after all servers have refused, so that few requests are sent in vain.
const ROUND_PAUSE: Duration = Duration::from_millis(25);
/// Maximum number of requests in one search. Each of them may need a new connection.
const MAX_REQUESTS: usize = 18;
/// After this many refusals in the local failure domain, the search no longer prefers that domain.
/// Refusals are more reliable than the loads that other hosts announce: a host among 300 receives
/// two in five of the load updates of its own domain and one in fifteen of the others.
const MAX_LOCAL_REFUSALS: usize = 3;

/// How long a request waits for memory: until one of the runs at the servers that it may search is expected to end, and not
/// at all if its caller has less time than that, if there is no server, or if nothing is known of how long runs last.
///
/// `run_time` is the mean time of a run, `runs` their number as far as known; a full server runs one at least.
pub fn memory_wait(
    run_time: Option<Duration>,
    runs: u32,
    servers: usize,
    time_left: Duration,
) -> Duration {
    let runs = runs.max(u32::try_from(servers).unwrap_or(u32::MAX));
    let next_end = run_time.filter(|_| runs > 0).map(|time| (time / runs).max(ROUND_PAUSE));
    next_end.filter(|end| *end < time_left).unwrap_or_default()
}

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
    local_domain: NameKey,
    tried: HashSet<ServerKey>,
    request_count: usize,
    local_refusals: usize,
    /// Sum of the pauses so far.
    paused: Duration,
}

impl MemorySearch {
    /// Starts a search from a host in the failure domain `local_domain`.
    pub fn new(local_domain: NameKey) -> Self {
        Self {
            local_domain,
            tried: HashSet::new(),
            request_count: 0,
            local_refusals: 0,
            paused: Duration::ZERO,
        }
    }

    /// Ranking penalty of servers in other failure domains for the next step, as a fraction of a
    /// full server.
    pub fn remote_penalty(&self) -> f64 {
        if self.local_refusals < MAX_LOCAL_REFUSALS { REMOTE_DOMAIN_PENALTY } else { 0.0 }
    }

    /// Returns the next step; `ranked` lists the available servers from best to worst, and the pauses of the search take
    /// no longer than `longest_wait` in all.
    pub fn next(
        &mut self,
        longest_wait: Duration,
        ranked: impl Iterator<Item = ServerKey>,
    ) -> SearchStep {
        if self.request_count >= MAX_REQUESTS {
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
        if self.paused + ROUND_PAUSE > longest_wait {
            return SearchStep::Refuse;
        }
        self.paused += ROUND_PAUSE;
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
