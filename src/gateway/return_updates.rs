//! Exchanges promised returns of callers with other hosts.

use super::gateway_host::GatewayHost;
use crate::return_times::ReturnUpdate;

impl GatewayHost {
    /// Handles a message of another host.
    pub(super) fn receive_returns(&self, update: &ReturnUpdate) {
        drop(self.state());
        log::debug!("event=returns_reported from={}", update.from);
    }
}
