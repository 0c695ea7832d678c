//! Exchanges observations of the health of backend servers with other hosts.

use super::gateway_host::GatewayHost;
use crate::shared_health::HealthReport;

impl GatewayHost {
    /// Handles a message of another host.
    pub(super) fn receive_health_report(&self, report: &HealthReport) {
        drop(self.state());
        log::debug!("event=health_reported from={}", report.from);
    }
}
