use super::gateway_host::GatewayHost;
use crate::keys::ServerKey;
use std::sync::Arc;

/// One run in the hearing table, removed from it when the guard is dropped.
#[derive(Debug)]
pub(super) struct RunHearing {
    host: Arc<GatewayHost>,
    server: ServerKey,
}

impl RunHearing {
    pub fn new(host: &Arc<GatewayHost>, server: ServerKey) -> Self {
        let now = host.now();
        host.state().hearing.record_begin(now, server);
        Self { host: Arc::clone(host), server }
    }

    /// Records an event of the run.
    pub fn record_event(&self) {
        let now = self.host.now();
        self.host.state().hearing.record_event(now, self.server);
    }
}

impl Drop for RunHearing {
    fn drop(&mut self) {
        self.host.state().hearing.record_end(self.server);
    }
}
