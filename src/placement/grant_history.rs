use crate::keys::{ServerKey, stable_hash};
use std::collections::{HashMap, VecDeque};

/// Holds remembered per server. One server grants a host at most about ten holds a second, and a
/// delayed duplicate of an answer arrives within seconds; 64 hashes of 8 bytes take half a
/// kilobyte.
const GRANTS_PER_SERVER: usize = 64;

/// The most recent holds granted by each server, for detecting duplicates.
///
/// A server uses each hold name once, so a repeated name comes from a delayed duplicate of the
/// answer that granted it, and the hold belongs to another request.
#[derive(Debug, Clone, Default)]
pub struct GrantHistory {
    granted: HashMap<ServerKey, VecDeque<u64>>,
}

impl GrantHistory {
    /// Records a hold; returns false if the server had already granted it.
    pub fn record(&mut self, server: ServerKey, hold: &str) -> bool {
        let hold_hash = stable_hash(hold.as_bytes());
        let granted = self.granted.entry(server).or_default();
        if granted.contains(&hold_hash) {
            return false;
        }
        if granted.len() == GRANTS_PER_SERVER {
            granted.pop_front();
        }
        granted.push_back(hold_hash);
        true
    }

    /// Removes the servers for which `is_known` returns false.
    pub fn retain(&mut self, is_known: impl Fn(ServerKey) -> bool) {
        self.granted.retain(|server, _| is_known(*server));
    }
}
