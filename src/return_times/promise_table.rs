use crate::keys::{RequestKey, TimePoint};
use crate::routes::ServiceKey;
use crate::server_limits::CallRank;
use std::collections::HashMap;
use std::time::Duration;

/// A caller may return this much before the promised time: a host that received the promise in an update assumes a time
/// that is too late by the delay of the update.
const EARLY_TOLERANCE: Duration = Duration::from_millis(300);
/// A caller is recognised until this long after the promised time: its request takes a round trip and may be
/// retransmitted once.
const LATE_TOLERANCE: Duration = Duration::from_secs(1);
/// Most promises that are kept, about 60 bytes each.
const MAX_PROMISES: usize = 8192;

/// A return that a caller was told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Promise {
    /// The service that the caller needs.
    pub service: ServiceKey,
    /// The rank of its request.
    pub rank: CallRank,
    /// When it returns.
    pub at: TimePoint,
    /// Number of updates that announced it to other hosts; `None` if another host promised it, or no host needs to know.
    pub announced: Option<u32>,
}

/// The returns that this host and others promised, by request.
#[derive(Debug, Default)]
pub struct PromiseTable {
    promises: HashMap<RequestKey, Promise>,
}

impl PromiseTable {
    /// Adds a promise of this host; it replaces an earlier one to the same caller, who has returned and was refused again.
    pub fn insert(&mut self, now: TimePoint, key: RequestKey, promise: Promise) {
        if self.promises.len() >= MAX_PROMISES {
            self.expire(now);
        }
        if self.promises.len() < MAX_PROMISES || self.promises.contains_key(&key) {
            self.promises.insert(key, promise);
        }
    }

    /// Adds a promise of another host, from its newest update or an older one. A promise that is known already keeps the
    /// earlier time, since an update that is repeated or late names a later one, unless the caller may have returned
    /// and been refused again.
    pub fn insert_heard(
        &mut self,
        now: TimePoint,
        key: RequestKey,
        promise: Promise,
        is_newest: bool,
    ) {
        let is_kept = self.promises.get(&key).is_some_and(|known| {
            let may_have_returned = known.at <= now + EARLY_TOLERANCE;
            let is_repeated = !may_have_returned && known.at <= promise.at;
            let is_late = !is_newest && now < known.at + LATE_TOLERANCE;
            is_repeated || is_late
        });
        if !is_kept {
            self.insert(now, key, promise);
        }
    }

    /// Whether the caller of a request returns as it was told.
    pub fn is_return(&self, now: TimePoint, key: RequestKey) -> bool {
        self.promises.get(&key).is_some_and(|promise| {
            promise.at <= now + EARLY_TOLERANCE && now < promise.at + LATE_TOLERANCE
        })
    }

    /// Promises that are still to come.
    pub fn ahead(&self, now: TimePoint) -> impl Iterator<Item = (RequestKey, &Promise)> {
        let ahead = self.promises.iter().filter(move |(_, promise)| promise.at > now);
        ahead.map(|(key, promise)| (*key, promise))
    }

    /// At most `count` of this host's own promises to announce to other hosts, of those that fewer than `max_announced`
    /// updates contained: those announced least often first, then those that are due first.
    pub fn take_unannounced(
        &mut self,
        now: TimePoint,
        count: usize,
        max_announced: u32,
    ) -> Vec<(RequestKey, Promise)> {
        let mut own: Vec<(RequestKey, &mut Promise)> = self
            .promises
            .iter_mut()
            .filter(|(_, promise)| {
                promise.announced.is_some_and(|count| count < max_announced) && promise.at > now
            })
            .map(|(key, promise)| (*key, promise))
            .collect();
        own.sort_unstable_by_key(|(key, promise)| (promise.announced, promise.at, *key));
        own.truncate(count);
        own.into_iter()
            .map(|(key, promise)| {
                promise.announced = promise.announced.map(|times| times.saturating_add(1));
                (key, *promise)
            })
            .collect()
    }

    /// Whether this host promised a return that no update has announced, or one that fewer than `max_announced` updates
    /// have announced and that is due before `repeat_at`, the next regular update.
    pub fn has_unannounced(
        &self,
        now: TimePoint,
        max_announced: u32,
        repeat_at: TimePoint,
    ) -> bool {
        self.ahead(now).any(|(_, promise)| {
            promise.announced.is_some_and(|count| {
                count == 0 || (count < max_announced && promise.at < repeat_at)
            })
        })
    }

    /// Drops the promises whose callers are no longer recognised.
    pub fn expire(&mut self, now: TimePoint) {
        self.promises.retain(|_, promise| now < promise.at + LATE_TOLERANCE);
    }
}
