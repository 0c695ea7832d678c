use super::Route;
use crate::keys::stable_hash;
use serde::{Deserialize, Serialize};
use std::collections::HashSet;
use std::sync::Arc;

/// Routes in a bucket on average: one changed route costs the transfer of so many.
const BUCKET_ROUTES: usize = 8;
/// Most buckets; their hashes are 4 KB.
const MOST_BUCKETS: usize = 512;

/// The hashes of a route's name and of all that it says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouteHash {
    name: u64,
    contents: u64,
}

impl RouteHash {
    /// The hashes of `route`, the same on every host.
    pub fn of(route: &Route) -> Self {
        // What cannot be encoded cannot be sent either; then no hash is the right one.
        let encoded = bincode::serde::encode_to_vec(route, bincode::config::standard());
        let contents = encoded.map_or(0, |bytes| stable_hash(&bytes));
        Self { name: stable_hash(route.name.as_bytes()), contents }
    }

    const fn bucket(self, count: usize) -> usize {
        (self.name % count as u64) as usize
    }
}

/// What a host tells of the routes that it has, so that another one can send just those that differ: a hash for each
/// bucket of routes. Neither needs to know which versions the other one has seen.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableDigest {
    buckets: Vec<u64>,
}

impl TableDigest {
    /// The digest of routes with these hashes.
    pub fn of(hashes: &[RouteHash]) -> Self {
        let count = (hashes.len() / BUCKET_ROUTES).next_power_of_two().min(MOST_BUCKETS);
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

    /// What a host with this digest lacks of `routes`, which have `hashes`; nothing if the digest is of no table.
    pub fn missing_changes(
        &self,
        routes: &[Arc<Route>],
        hashes: &[RouteHash],
    ) -> Option<RouteChanges> {
        let count = self.buckets.len();
        if count == 0 || count > MOST_BUCKETS {
            return None;
        }
        let own = Self::with_buckets(hashes, count);
        let differs = |place: &usize| own.buckets[*place] != self.buckets[*place];
        let changed: Vec<usize> = (0..count).filter(differs).collect();
        let told = routes.iter().zip(hashes);
        let told = told.filter(|(_, hash)| differs(&hash.bucket(count)));
        Some(RouteChanges {
            bucket_count: count as u32,
            buckets: changed.iter().map(|place| *place as u32).collect(),
            routes: told.map(|(route, _)| Arc::clone(route)).collect(),
            total: table_hash(hashes),
        })
    }
}

/// The buckets in which two tables differ, as one of them has them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteChanges {
    bucket_count: u32,
    buckets: Vec<u32>,
    routes: Vec<Arc<Route>>,
    /// Hash of the whole table that results.
    total: u64,
}

impl RouteChanges {
    /// How many routes it tells.
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// Whether it tells no route; some may be gone.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }

    /// The routes that result from `routes`, which have `hashes`; nothing if they are not those of the told table.
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
        (table_hash(&hashes) == self.total).then_some(routes)
    }
}

fn table_hash(hashes: &[RouteHash]) -> u64 {
    hashes.iter().fold(hashes.len() as u64, |sum, hash| sum.wrapping_add(hash.contents))
}
