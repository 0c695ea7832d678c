//! Periodically logs how many messages and store calls of each kind this host has made: its overhead besides the
//! requests of callers.

use super::gateway_host::GatewayHost;
use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

/// How often the counters are logged; they are also exported as metrics.
const ACCOUNT_PERIOD: Duration = Duration::from_secs(10);

/// Logs the counters of a host periodically.
pub(super) async fn run_account(host: Arc<GatewayHost>) {
    let mut ticker = tokio::time::interval(ACCOUNT_PERIOD);
    ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticker.tick().await;
        host.log_account();
    }
}

impl GatewayHost {
    /// Logs one line with all counters since the start of the process.
    pub(super) fn log_account(&self) {
        let mut line = String::new();
        for (counter, value) in self.metrics().counters() {
            // Writing to a string cannot fail.
            let _ = write!(line, " {counter}={value}");
        }
        for (kind, count) in self.store.calls() {
            let _ = write!(line, " store_{}={count}", kind.name());
        }
        let hosts = self.state().members.living().count();
        log::info!("event=host_account hosts={hosts}{line}");
    }
}
