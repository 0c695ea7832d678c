use super::gateway_host::GatewayHost;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// Counts one request, or one connection whose answers are still written, as in flight until dropped; a graceful shutdown
/// waits for all of them.
#[derive(Debug)]
pub(super) struct InFlightGuard(Arc<GatewayHost>);

impl InFlightGuard {
    pub fn begin(host: &Arc<GatewayHost>) -> Self {
        host.in_flight.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(host))
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
