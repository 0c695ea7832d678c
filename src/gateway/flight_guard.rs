use super::gateway_host::GatewayHost;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// Counts requests under way, so that a planned stop can wait for them.
#[derive(Debug)]
pub(super) struct FlightGuard(Arc<GatewayHost>);

impl FlightGuard {
    pub fn new(host: &Arc<GatewayHost>) -> Self {
        host.in_flight.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(host))
    }
}

impl Drop for FlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
