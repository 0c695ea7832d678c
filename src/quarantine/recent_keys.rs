use crate::keys::TimePoint;
use std::collections::HashSet;
use std::hash::Hash;
use std::time::Duration;

/// Maximum number of keys kept for each half of the lifetime: an estimated 128 KB with their table.
const MAX_KEYS: usize = 4096;

/// Keys that were recorded recently, in two generations. The older generation is dropped as a whole.
#[derive(Debug, Clone)]
pub(super) struct RecentKeys<K> {
    lifetime: Duration,
    recent: HashSet<K>,
    previous: HashSet<K>,
    rotated_at: TimePoint,
}

impl<K: Copy + Eq + Hash> RecentKeys<K> {
    /// Keeps keys for at least half of `lifetime` and at most the whole of it, or for less if there are very many.
    pub fn new(lifetime: Duration) -> Self {
        Self {
            lifetime,
            recent: HashSet::new(),
            previous: HashSet::new(),
            rotated_at: TimePoint::CLOCK_START,
        }
    }

    /// Records a key.
    pub fn record(&mut self, now: TimePoint, key: K) {
        self.expire(now);
        if self.recent.len() >= MAX_KEYS {
            self.rotate(now);
        }
        self.recent.insert(key);
    }

    /// Whether a key was recorded recently.
    pub fn contains(&self, key: K) -> bool {
        self.recent.contains(&key) || self.previous.contains(&key)
    }

    /// Drops keys that were recorded too long ago.
    pub fn expire(&mut self, now: TimePoint) {
        let age = now.since(self.rotated_at);
        if age >= self.lifetime {
            self.recent.clear();
        }
        if age >= self.lifetime / 2 {
            self.rotate(now);
        }
    }

    fn rotate(&mut self, now: TimePoint) {
        self.previous = std::mem::take(&mut self.recent);
        self.rotated_at = now;
    }
}
