use super::gateway_host::GatewayHost;
use crate::keys::ServerKey;
use crate::placement::ServerLoad;
use std::sync::Arc;

/// Work of this host in the load table, removed from it when the guard is dropped.
#[derive(Debug)]
pub(super) struct LoadGuard {
    host: Arc<GatewayHost>,
    server: ServerKey,
    load: ServerLoad,
}

impl LoadGuard {
    pub fn new(host: &Arc<GatewayHost>, server: ServerKey, load: ServerLoad) -> Self {
        host.state().server_loads.add(server, load);
        Self { host: Arc::clone(host), server, load }
    }

    /// Adds `tokens` to the memory used by the work.
    pub fn grow(&mut self, tokens: u32) {
        let more = ServerLoad { memory_tokens: tokens, ..ServerLoad::default() };
        self.host.state().server_loads.add(self.server, more);
        self.load.memory_tokens += tokens;
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        self.host.state().server_loads.remove(self.server, self.load);
    }
}
