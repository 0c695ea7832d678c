use crate::keys::{ServerKey, stable_hash};
use std::collections::{HashMap, VecDeque};

/// Holds remembered of each server. A host is granted some ten a second by one server at most, and a late
/// copy of an answer comes within seconds; 64 of 8 bytes are half a kilobyte a server.
const GRANTS_KEPT: usize = 64;

/// The holds that servers granted last. A server names each hold once, so a name that comes again is a late
/// copy of the answer that granted it, and the hold is another request's.
#[derive(Debug, Clone, Default)]
pub struct GrantHistory {
    granted: HashMap<ServerKey, VecDeque<u64>>,
}

impl GrantHistory {
    /// Notes a hold; false if the server granted it before.
    pub fn record(&mut self, server: ServerKey, hold: &str) -> bool {
        let name = stable_hash(hold.as_bytes());
        let granted = self.granted.entry(server).or_default();
        if granted.contains(&name) {
            return false;
        }
        if granted.len() == GRANTS_KEPT {
            granted.pop_front();
        }
        granted.push_back(name);
        true
    }

    /// Forgets servers that are gone.
    pub fn retain(&mut self, is_known: impl Fn(ServerKey) -> bool) {
        self.granted.retain(|server, _| is_known(*server));
    }
}
