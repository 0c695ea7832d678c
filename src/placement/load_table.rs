use crate::keys::{IncarnationId, ServerKey, TimePoint};
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

/// Lifetime of another host's load update. Hosts repeat their updates several times a second while
/// they have work.
const UPDATE_LIFETIME: Duration = Duration::from_millis(1500);

/// Load that one host places on one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ServerLoad {
    /// Requests that are running or about to start.
    pub requests: u32,
    /// Memory in tokens that they occupy on a decode server.
    pub memory_tokens: u32,
    /// Prompt tokens that are queued or being processed on a prefill server.
    pub prompt_tokens: u32,
}

impl ServerLoad {
    fn plus(self, other: Self) -> Self {
        Self {
            requests: self.requests + other.requests,
            memory_tokens: self.memory_tokens + other.memory_tokens,
            prompt_tokens: self.prompt_tokens + other.prompt_tokens,
        }
    }

    /// The remainder after subtracting `other`, zero at least.
    fn minus(self, other: Self) -> Self {
        Self {
            requests: self.requests.saturating_sub(other.requests),
            memory_tokens: self.memory_tokens.saturating_sub(other.memory_tokens),
            prompt_tokens: self.prompt_tokens.saturating_sub(other.prompt_tokens),
        }
    }

    fn is_zero(self) -> bool {
        self == Self::default()
    }
}

#[derive(Debug, Clone)]
struct HostUpdate {
    at: TimePoint,
    version: u64,
    loads: HashMap<ServerKey, ServerLoad>,
}

/// The load of each server: this host's own load, which is exact, plus the last known load of the
/// other hosts.
///
/// The totals of the other hosts are maintained as updates arrive, so that the cost of choosing a
/// server does not depend on the number of hosts.
#[derive(Debug, Clone, Default)]
pub struct LoadTable {
    own: HashMap<ServerKey, ServerLoad>,
    change_count: u64,
    others: HashMap<IncarnationId, HostUpdate>,
    /// Totals over all other hosts.
    others_total: HashMap<ServerKey, ServerLoad>,
}

impl LoadTable {
    /// Adds load of this host.
    pub fn add(&mut self, key: ServerKey, load: ServerLoad) {
        let own = self.own.entry(key).or_default();
        *own = own.plus(load);
        self.change_count += 1;
    }

    /// Removes load of this host.
    pub fn remove(&mut self, key: ServerKey, load: ServerLoad) {
        let Some(own) = self.own.get_mut(&key) else {
            return;
        };
        *own = own.minus(load);
        if own.is_zero() {
            self.own.remove(&key);
        }
        self.change_count += 1;
    }

    /// Number of changes of this host's load; an unchanged load is announced less often.
    pub fn change_count(&self) -> u64 {
        self.change_count
    }

    /// This host's own load at the `limit` servers where it is heaviest, for announcing to other
    /// hosts.
    pub fn heaviest_own(&self, limit: usize) -> Vec<(ServerKey, ServerLoad)> {
        let mut own: Vec<(ServerKey, ServerLoad)> =
            self.own.iter().map(|(key, load)| (*key, *load)).collect();
        if own.len() > limit {
            own.sort_unstable_by_key(|(key, load)| {
                let tokens = load.memory_tokens.saturating_add(load.prompt_tokens);
                (Reverse(tokens), Reverse(load.requests), *key)
            });
            own.truncate(limit);
        }
        own
    }

    /// Applies another host's load update; `version` increases with each update of that host.
    pub fn apply_update(
        &mut self,
        now: TimePoint,
        from: IncarnationId,
        version: u64,
        loads: HashMap<ServerKey, ServerLoad>,
    ) {
        let is_newer = self.others.get(&from).is_none_or(|update| version > update.version);
        if !is_newer {
            return;
        }
        for (key, load) in &loads {
            let sum = self.others_total.entry(*key).or_default();
            *sum = sum.plus(*load);
        }
        let previous = self.others.insert(from, HostUpdate { at: now, version, loads });
        if let Some(previous) = previous {
            self.subtract(&previous);
        }
    }

    /// Removes hosts whose last update is too old. Must be called before totals are read.
    pub fn expire(&mut self, now: TimePoint) {
        let is_stale = |update: &HostUpdate| now.since(update.at) >= UPDATE_LIFETIME;
        let stale: Vec<HostUpdate> = self
            .others
            .extract_if(|_, update| is_stale(update))
            .map(|(_, update)| update)
            .collect();
        for update in &stale {
            self.subtract(update);
        }
    }

    /// Known load of all hosts on one server.
    pub fn total(&self, key: ServerKey) -> ServerLoad {
        let own = self.own.get(&key).copied().unwrap_or_default();
        own.plus(self.others_total.get(&key).copied().unwrap_or_default())
    }

    fn subtract(&mut self, update: &HostUpdate) {
        for (key, load) in &update.loads {
            let Some(sum) = self.others_total.get_mut(key) else { continue };
            *sum = sum.minus(*load);
            if sum.is_zero() {
                self.others_total.remove(key);
            }
        }
    }
}
