//! Tells other hosts which servers crashed under which requests.

use super::gateway_host::GatewayHost;
use super::peer_messages::GatewayDatagram;
use crate::quarantine::CrashReport;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// How often a host tells what is new to it: all of 300 hosts hear it within half a second (reckoned).
const TELL_PERIOD: Duration = Duration::from_millis(100);
/// Hosts of the own failure domain told each time.
const TELL_NEAR: usize = 4;
/// Hosts of other failure domains told each time; their bytes are priced.
const TELL_ABROAD: usize = 2;

/// Tells crashes while there are some that others may not know.
pub(super) async fn run_crash_updates(host: Arc<GatewayHost>) {
    let mut ticker = tokio::time::interval(TELL_PERIOD);
    ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticker.tick().await;
        host.resolve_break_offs();
        host.send_crash_updates();
    }
}

impl GatewayHost {
    fn send_crash_updates(&self) {
        let now = self.now();
        let report = self.state().crashes.unsent(now);
        if report.is_empty() {
            return;
        }
        let serial = self.gossip_round.fetch_add(1, Ordering::Relaxed);
        let news = GatewayDatagram::Crashes(report);
        for target in self.gossip_targets(serial, TELL_NEAR, TELL_ABROAD) {
            self.send(target, &news);
        }
    }

    /// Takes over what another host told.
    pub(super) fn apply_crash_report(&self, report: &CrashReport) {
        let now = self.now();
        let mut state = self.state();
        let before = state.crashes.len();
        state.crashes.merge(now, report);
        let known = state.crashes.len();
        drop(state);
        if known != before {
            log::info!("event=crashes_heard told={} known={known}", report.crashes.len());
        }
    }
}
