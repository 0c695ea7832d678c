//! Exchanges the demand for decode memory with other hosts.

use super::gateway_host::GatewayHost;
use crate::admission::PressureUpdate;

impl GatewayHost {
    /// Handles a message of another host.
    pub(super) fn receive_pressure(&self, update: &PressureUpdate) {
        drop(self.state());
        log::debug!("event=pressure_reported from={}", update.from);
    }
}
