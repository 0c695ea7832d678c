//! Sends other hosts the crashes of servers and the requests that were in flight at the time.

use super::gateway_host::GatewayHost;
use super::peer_messages::{GatewayDatagram, GatewayReply, GatewayRequest};
use crate::quarantine::{CrashReport, PartReport};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// How often a host sends the crashes that are new to it: they reach all of 300 hosts within half a
/// second.
const SEND_PERIOD: Duration = Duration::from_millis(100);
/// Hosts of the same failure domain in each round.
const LOCAL_TARGETS: usize = 4;
/// Hosts of other failure domains in each round: few, since links between domains are shared with callers and may be cut.
const REMOTE_TARGETS: usize = 2;

/// Sends crashes as long as there are some that other hosts may not know.
pub(super) async fn run_crash_updates(host: Arc<GatewayHost>) {
    let mut ticker = tokio::time::interval(SEND_PERIOD);
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
        let (report, part_report) = {
            let mut state = self.state();
            (state.crashes.unsent(now), state.part_crashes.unsent(now))
        };
        if !report.is_empty() {
            self.send_to_some(&GatewayDatagram::Crashes(report));
        }
        if !part_report.is_empty() {
            self.send_to_some(&GatewayDatagram::PartCrashes(part_report));
        }
    }

    fn send_to_some(&self, update: &GatewayDatagram) {
        let round = self.gossip_round.fetch_add(1, Ordering::Relaxed);
        for target in self.gossip_targets(round, LOCAL_TARGETS, REMOTE_TARGETS) {
            self.send(target, update);
        }
    }

    /// Exchanges crashes with the parts of prompts with one host; a host of an older version does not know them.
    pub(super) async fn sync_part_crashes(&self, address: SocketAddr, timeout: Duration) {
        let report = self.state().part_crashes.full_report(self.now());
        let request = GatewayRequest::PartCrashes(report);
        if let Ok(GatewayReply::PartCrashes(report)) =
            self.peers.call(address, &request, timeout).await
        {
            self.apply_part_report(&report);
        }
    }

    /// Merges crashes that another host reported, with the parts of the prompts that ran.
    pub(super) fn apply_part_report(&self, report: &PartReport) {
        let now = self.now();
        let mut state = self.state();
        let before = state.part_crashes.len();
        state.part_crashes.merge(now, report);
        let known = state.part_crashes.len();
        drop(state);
        log_heard("part_crashes_heard", report.crashes.len(), before, known);
    }

    /// Merges crashes that another host reported.
    pub(super) fn apply_crash_report(&self, report: &CrashReport) {
        let now = self.now();
        let mut state = self.state();
        let before = state.crashes.len();
        state.crashes.merge(now, report);
        let known = state.crashes.len();
        drop(state);
        log_heard("crashes_heard", report.crashes.len(), before, known);
    }
}

/// Logs that a report named `told` crashes, if it changed how many are known.
fn log_heard(event: &str, told: usize, before: usize, known: usize) {
    if known != before {
        log::info!("event={event} told={told} known={known}");
    }
}
