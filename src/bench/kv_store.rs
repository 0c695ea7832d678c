use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Life of a prefill result; the brief says "under a second".
pub const RESULT_LIFE: Duration = Duration::from_millis(800);

/// A prefill result that waits for its transfer.
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
    /// Whether its life is over.
    pub fn is_expired(&self, now: Instant) -> bool {
        now.duration_since(self.ready_at) > RESULT_LIFE
    }
}

/// Prefill results of all engines in this process.
#[derive(Debug, Default)]
pub struct KvStore {
    results: Mutex<HashMap<(SocketAddr, u64), KvResult>>,
    links: Mutex<HashMap<SocketAddr, SocketAddr>>,
}

impl KvStore {
    /// Keeps a result; forgets expired ones.
    pub fn put(&self, source: SocketAddr, handle: u64, result: KvResult) {
        let Ok(mut results) = self.results.lock() else {
            return;
        };
        results.retain(|_, old| old.ready_at.elapsed() < RESULT_LIFE * 4);
        results.insert((source, handle), result);
    }

    /// Lets the engine at `source` be reached at `link` too.
    pub fn add_link(&self, link: SocketAddr, source: SocketAddr) {
        if let Ok(mut links) = self.links.lock() {
            links.insert(link, source);
        }
    }

    /// A result, alive or not.
    pub fn get(&self, source: SocketAddr, handle: u64) -> Option<KvResult> {
        let source = self.engine_at(source);
        self.results.lock().ok()?.get(&(source, handle)).cloned()
    }

    /// Drops a result that was transferred.
    pub fn take(&self, source: SocketAddr, handle: u64) {
        let source = self.engine_at(source);
        if let Ok(mut results) = self.results.lock() {
            results.remove(&(source, handle));
        }
    }

    /// The engine that is reached at an address.
    fn engine_at(&self, address: SocketAddr) -> SocketAddr {
        let engine = self.links.lock().ok().and_then(|links| links.get(&address).copied());
        engine.unwrap_or(address)
    }
}
