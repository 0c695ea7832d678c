use super::Route;
use crate::keys::stable_hash;
use serde::{Deserialize, Serialize};
use std::collections::HashSet;
use std::sync::Arc;

/// Average number of routes in a bucket; one changed route causes the transfer of its whole bucket.
const BUCKET_ROUTES: usize = 8;
/// Maximum number of buckets; their hashes take 4 KB.
const MAX_BUCKETS: usize = 512;

/// Hashes of a route's name and of its whole contents.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouteHash {
    name: u64,
    contents: u64,
}

impl RouteHash {
    /// Computes the hashes of `route`; they are the same on every host.
    pub fn of(route: &Route) -> Self {
        // A route that cannot be encoded cannot be sent either, so its hash does not matter.
        let encoded = bincode::serde::encode_to_vec(route, bincode::config::standard());
        let contents = encoded.map_or(0, |bytes| stable_hash(&bytes));
        Self { name: stable_hash(route.name.as_bytes()), contents }
    }

    const fn bucket(self, count: usize) -> usize {
        (self.name % count as u64) as usize
    }
}

/// Digest of a host's routes with one hash for each bucket of routes, from which another host determines the buckets that
/// differ. Neither host needs to know which versions the other one has seen.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableDigest {
    buckets: Vec<u64>,
}

impl TableDigest {
    /// Computes the digest of routes with these hashes.
    pub fn of(hashes: &[RouteHash]) -> Self {
        let count = (hashes.len() / BUCKET_ROUTES).next_power_of_two().min(MAX_BUCKETS);
        Self::with_buckets(hashes, count)
    }

    fn with_buckets(hashes: &[RouteHash], count: usize) -> Self {
        let mut buckets = vec![0_u64; count];
        for hash in hashes {
            let bucket = &mut buckets[hash.bucket(count)];
            *bucket = bucket.wrapping_add(hash.contents);
        }
        Self { buckets }
    }

    /// The changes that a host with this digest needs to have `routes`, whose hashes are `hashes`; `None` if the digest is
    /// not valid.
    pub fn missing_changes(
        &self,
        routes: &[Arc<Route>],
        hashes: &[RouteHash],
    ) -> Option<RouteChanges> {
        let count = self.buckets.len();
        if count == 0 || count > MAX_BUCKETS {
            return None;
        }
        let own = Self::with_buckets(hashes, count);
        let differs = |index: &usize| own.buckets[*index] != self.buckets[*index];
        let changed: Vec<usize> = (0..count).filter(differs).collect();
        let sent = routes.iter().zip(hashes);
        let sent = sent.filter(|(_, hash)| differs(&hash.bucket(count)));
        Some(RouteChanges {
            bucket_count: count as u32,
            buckets: changed.iter().map(|index| *index as u32).collect(),
            routes: sent.map(|(route, _)| Arc::clone(route)).collect(),
            table_hash: table_hash(hashes),
        })
    }
}

/// The buckets in which two tables differ, with the routes that one of the tables has in them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteChanges {
    bucket_count: u32,
    buckets: Vec<u32>,
    routes: Vec<Arc<Route>>,
    /// Hash of the whole resulting table.
    table_hash: u64,
}

impl RouteChanges {
    /// Number of routes included.
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// Whether no route is included; routes may still be removed.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }

    /// Applies the changes to `routes`, whose hashes are `hashes`; `None` if the result differs from the sender's table.
    pub fn apply_to(self, routes: &[Arc<Route>], hashes: &[RouteHash]) -> Option<Vec<Arc<Route>>> {
        let count = self.bucket_count as usize;
        if count == 0 {
            return None;
        }
        let changed: HashSet<u32> = self.buckets.iter().copied().collect();
        let is_kept = |hash: &RouteHash| !changed.contains(&(hash.bucket(count) as u32));
        let kept = routes.iter().zip(hashes).filter(|(_, hash)| is_kept(hash));
        let (mut routes, mut hashes): (Vec<_>, Vec<_>) =
            kept.map(|(route, hash)| (Arc::clone(route), *hash)).unzip();
        hashes.extend(self.routes.iter().map(|route| RouteHash::of(route)));
        routes.extend(self.routes);
        (table_hash(&hashes) == self.table_hash).then_some(routes)
    }
}

fn table_hash(hashes: &[RouteHash]) -> u64 {
    hashes.iter().fold(hashes.len() as u64, |sum, hash| sum.wrapping_add(hash.contents))
}
