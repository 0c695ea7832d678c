use super::HostState;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// Counts one request as in flight until dropped; a planned shutdown waits for all of them.
#[derive(Debug)]
pub(super) struct InFlightGuard {
    host: Arc<HostState>,
}

impl InFlightGuard {
    /// Counts a request as in flight.
    pub fn begin(host: &Arc<HostState>) -> Self {
        host.in_flight.fetch_add(1, Ordering::Relaxed);
        Self { host: Arc::clone(host) }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.host.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
