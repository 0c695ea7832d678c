//! Says now and then what this host has sent and asked so far, by kind: what it costs to know, beside the requests.

use super::gateway_host::GatewayHost;
use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

/// How often the account is logged; the counters themselves are metrics, too.
const ACCOUNT_PERIOD: Duration = Duration::from_secs(10);

/// Logs the account of a host in turn.
pub(super) async fn run_account(host: Arc<GatewayHost>) {
    let mut ticker = tokio::time::interval(ACCOUNT_PERIOD);
    ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticker.tick().await;
        host.log_account();
    }
}

impl GatewayHost {
    /// One line with all counters since the start.
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
