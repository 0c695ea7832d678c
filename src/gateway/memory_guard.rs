use super::gateway_host::GatewayHost;
use crate::admission::{AdmissionRequest, MemoryUse};
use crate::routes::ServiceKey;
use std::sync::Arc;

/// Counts the memory of a run in this host's figures until it is dropped.
#[derive(Debug)]
pub(super) struct MemoryGuard {
    host: Arc<GatewayHost>,
    memory: MemoryUse,
}

impl MemoryGuard {
    pub fn new(host: &Arc<GatewayHost>, service: ServiceKey, request: &AdmissionRequest) -> Self {
        let memory = host.state().admission.record_begin(service, request);
        Self { host: Arc::clone(host), memory }
    }
}

impl Drop for MemoryGuard {
    fn drop(&mut self) {
        self.host.state().admission.record_end(self.memory);
    }
}
