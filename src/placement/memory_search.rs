use super::REMOTE_DOMAIN_PENALTY;
use crate::keys::{NameKey, ServerKey, TimePoint};
use std::collections::HashSet;
use std::time::Duration;

/// Longest search for memory at a decode server, enough for a second round among few servers. Who waits
/// longer mostly waits in vain, and then comes back later.
const SEARCH_TIME: Duration = Duration::from_millis(60);
/// Pause after all servers refused; about one answer ends in it.
const ROUND_PAUSE: Duration = Duration::from_millis(25);
/// Servers asked in one search. Each may cost a new connection.
const MOST_ASKED: usize = 18;
/// After this many refusals in the own failure domain the search no longer prefers it: they say more
/// than the loads that other hosts told, of which a host among 300 hears two in five of its own
/// domain and one in fifteen elsewhere.
const NEAR_REFUSALS: usize = 3;

/// What a search does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SearchStep {
    /// Ask this server for memory.
    Request(ServerKey),
    /// All have refused; look again after this time.
    Pause(Duration),
    /// No server has memory for the request.
    Refuse,
}

/// One request's search for memory among decode servers.
///
/// No server is asked twice before all were asked once: among hundreds of servers the few that look
/// best by stale news are full together in a burst, while others have room.
#[derive(Debug, Clone)]
pub struct MemorySearch {
    began: TimePoint,
    near: NameKey,
    asked: HashSet<ServerKey>,
    asked_in_all: usize,
    near_refusals: usize,
}

impl MemorySearch {
    /// A search that begins now, by a host of the failure domain `near`.
    pub fn new(now: TimePoint, near: NameKey) -> Self {
        Self { began: now, near, asked: HashSet::new(), asked_in_all: 0, near_refusals: 0 }
    }

    /// Part of a full server that another failure domain counts at the next step.
    pub fn remote_penalty(&self) -> f64 {
        if self.near_refusals < NEAR_REFUSALS { REMOTE_DOMAIN_PENALTY } else { 0.0 }
    }

    /// The next step, with the servers that may be asked from best to worst.
    pub fn next(&mut self, now: TimePoint, ranked: impl Iterator<Item = ServerKey>) -> SearchStep {
        let elapsed = now.since(self.began);
        if self.asked_in_all >= MOST_ASKED || elapsed > SEARCH_TIME {
            return SearchStep::Refuse;
        }
        let mut ranked = ranked.peekable();
        if ranked.peek().is_none() {
            return SearchStep::Refuse;
        }
        if let Some(key) = ranked.find(|key| !self.asked.contains(key)) {
            self.asked.insert(key);
            self.asked_in_all += 1;
            return SearchStep::Request(key);
        }
        if elapsed + ROUND_PAUSE > SEARCH_TIME {
            return SearchStep::Refuse;
        }
        self.asked.clear();
        SearchStep::Pause(ROUND_PAUSE)
    }

    /// Servers asked so far, each as often as it was.
    pub fn request_count(&self) -> usize {
        self.asked_in_all
    }

    /// A server of `domain` had no memory.
    pub fn record_refusal(&mut self, domain: NameKey) {
        if domain == self.near {
            self.near_refusals += 1;
        }
    }
}
