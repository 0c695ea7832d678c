use crate::keys::{IncarnationId, ServerKey, TimePoint};
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

/// What another host said of its own work is believed this long; hosts repeat it several times a
/// second while they have work.
const NEWS_LIFE: Duration = Duration::from_millis(1500);

/// Work that one host has at one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ServerLoad {
    /// Requests that run or are about to.
    pub requests: u32,
    /// Tokens of memory that they take at a decode server.
    pub memory_tokens: u32,
    /// Tokens of prompts that wait or are being read at a prefill server.
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

    /// What is left when `other` is taken off.
    fn less(self, other: Self) -> Self {
        Self {
            requests: self.requests.saturating_sub(other.requests),
            memory_tokens: self.memory_tokens.saturating_sub(other.memory_tokens),
            prompt_tokens: self.prompt_tokens.saturating_sub(other.prompt_tokens),
        }
    }

    fn is_none(self) -> bool {
        self == Self::default()
    }
}

#[derive(Debug, Clone)]
struct HostNews {
    at: TimePoint,
    version: u64,
    loads: HashMap<ServerKey, ServerLoad>,
}

/// The load of each server: this host's own work, exactly, and the others' as they last said.
///
/// The others' work is summed up as news come, so that a choice among servers costs the same however
/// many hosts there are.
#[derive(Debug, Clone, Default)]
pub struct LoadTable {
    own: HashMap<ServerKey, ServerLoad>,
    changes: u64,
    others: HashMap<IncarnationId, HostNews>,
    /// Sums over the others.
    heard: HashMap<ServerKey, ServerLoad>,
}

impl LoadTable {
    /// Adds work of this host.
    pub fn add(&mut self, key: ServerKey, load: ServerLoad) {
        let own = self.own.entry(key).or_default();
        *own = own.plus(load);
        self.changes += 1;
    }

    /// Takes work of this host away.
    pub fn remove(&mut self, key: ServerKey, load: ServerLoad) {
        let Some(own) = self.own.get_mut(&key) else {
            return;
        };
        *own = own.less(load);
        if own.is_none() {
            self.own.remove(&key);
        }
        self.changes += 1;
    }

    /// Counts this host's changes; unchanged work need not be told again so soon.
    pub fn change_count(&self) -> u64 {
        self.changes
    }

    /// This host's own work, to tell the others: at the `most` servers that it loads most.
    pub fn heaviest_own(&self, most: usize) -> Vec<(ServerKey, ServerLoad)> {
        let mut own: Vec<(ServerKey, ServerLoad)> =
            self.own.iter().map(|(key, load)| (*key, *load)).collect();
        if own.len() > most {
            own.sort_unstable_by_key(|(key, load)| {
                let tokens = load.memory_tokens.saturating_add(load.prompt_tokens);
                (Reverse(tokens), Reverse(load.requests), *key)
            });
            own.truncate(most);
        }
        own
    }

    /// Another host's news; `version` rises with each that it sends.
    pub fn apply_update(
        &mut self,
        now: TimePoint,
        from: IncarnationId,
        version: u64,
        loads: HashMap<ServerKey, ServerLoad>,
    ) {
        let newer = self.others.get(&from).is_none_or(|news| version > news.version);
        if !newer {
            return;
        }
        for (key, load) in &loads {
            let sum = self.heard.entry(*key).or_default();
            *sum = sum.plus(*load);
        }
        let older = self.others.insert(from, HostNews { at: now, version, loads });
        if let Some(older) = older {
            self.take_off(&older);
        }
    }

    /// Forgets hosts that have been silent; to be called before loads are looked at.
    pub fn expire(&mut self, now: TimePoint) {
        let is_silent = |news: &HostNews| now.since(news.at) >= NEWS_LIFE;
        let silent: Vec<HostNews> =
            self.others.extract_if(|_, news| is_silent(news)).map(|(_, news)| news).collect();
        for news in &silent {
            self.take_off(news);
        }
    }

    /// Work of all hosts at one server, as far as it is known.
    pub fn total(&self, key: ServerKey) -> ServerLoad {
        let own = self.own.get(&key).copied().unwrap_or_default();
        own.plus(self.heard.get(&key).copied().unwrap_or_default())
    }

    fn take_off(&mut self, news: &HostNews) {
        for (key, load) in &news.loads {
            let Some(sum) = self.heard.get_mut(key) else { continue };
            *sum = sum.less(*load);
            if sum.is_none() {
                self.heard.remove(key);
            }
        }
    }
}
