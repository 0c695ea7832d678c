//! Exchanges the pace of decode servers with other hosts.

use super::gateway_host::GatewayHost;
use crate::memory_forecast::PaceUpdate;

impl GatewayHost {
    /// Handles a message of another host.
    pub(super) fn receive_paces(&self, update: &PaceUpdate) {
        drop(self.state());
        log::debug!("event=paces_reported from={}", update.from);
    }
}
