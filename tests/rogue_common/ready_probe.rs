use super::is_ready;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::task::JoinHandle;

/// The platform sends no more callers to a daemon after so many calls in a row without an answer.
pub const READY_MISSES: u32 = 2;
/// Pause between two calls; the platform's own is longer.
const PROBE_PERIOD: Duration = Duration::from_millis(200);

/// Asks a daemon again and again whether it is ready.
pub struct ReadyProbe {
    most_misses: Arc<AtomicU32>,
    task: JoinHandle<()>,
}

impl ReadyProbe {
    /// Starts to ask the daemon whose ready address this is.
    pub fn start(ready: SocketAddr) -> Self {
        let most_misses = Arc::new(AtomicU32::new(0));
        let task = tokio::spawn(probe(ready, Arc::clone(&most_misses)));
        Self { most_misses, task }
    }

    /// Ends the probe; returns the most calls in a row that were not answered with yes.
    pub fn stop(self) -> u32 {
        self.task.abort();
        self.most_misses.load(Ordering::Relaxed)
    }
}

async fn probe(ready: SocketAddr, most_misses: Arc<AtomicU32>) {
    let mut misses = 0;
    loop {
        misses = if is_ready(ready).await { 0 } else { misses + 1 };
        most_misses.fetch_max(misses, Ordering::Relaxed);
        tokio::time::sleep(PROBE_PERIOD).await;
    }
}
