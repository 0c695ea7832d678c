use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// How long a prefill result can be transferred; the brief says "under a second".
pub const RESULT_TTL: Duration = Duration::from_millis(800);

/// A prefill result that waits to be transferred.
#[derive(Debug, Clone)]
pub struct KvResult {
    /// Hash of the prompt.
    pub prompt: u64,
    /// Size of the KV cache.
    pub bytes: u64,
    /// When the prefill finished.
    pub ready_at: Instant,
}

impl KvResult {
    /// Whether the result has expired at `now`.
    pub fn is_expired(&self, now: Instant) -> bool {
        now.duration_since(self.ready_at) > RESULT_TTL
    }
}

/// Prefill results of all engines in this process.
#[derive(Debug, Default)]
pub struct KvStore {
    results: Mutex<HashMap<(SocketAddr, u64), KvResult>>,
    links: Mutex<HashMap<SocketAddr, SocketAddr>>,
}

impl KvStore {
    /// Stores a result; drops those that expired long ago.
    pub fn put(&self, source: SocketAddr, handle: u64, result: KvResult) {
        let Ok(mut results) = self.results.lock() else {
            return;
        };
        results.retain(|_, old| old.ready_at.elapsed() < RESULT_TTL * 4);
        results.insert((source, handle), result);
    }

    /// Registers `link` as a second address of the engine at `source`.
    pub fn add_link(&self, link: SocketAddr, source: SocketAddr) {
        if let Ok(mut links) = self.links.lock() {
            links.insert(link, source);
        }
    }

    /// Returns a result that has not been dropped, even if it has expired.
    pub fn get(&self, source: SocketAddr, handle: u64) -> Option<KvResult> {
        let source = self.engine_at(source);
        self.results.lock().ok()?.get(&(source, handle)).cloned()
    }

    /// Removes a result that was transferred.
    pub fn remove(&self, source: SocketAddr, handle: u64) {
        let source = self.engine_at(source);
        if let Ok(mut results) = self.results.lock() {
            results.remove(&(source, handle));
        }
    }

    /// Address of the engine that is reached at `address`.
    fn engine_at(&self, address: SocketAddr) -> SocketAddr {
        let engine = self.links.lock().ok().and_then(|links| links.get(&address).copied());
        engine.unwrap_or(address)
    }
}
