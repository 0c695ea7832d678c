//! Exchanges the pace of servers with other hosts.

use super::gateway_host::GatewayHost;
use super::peer_messages::GatewayDatagram;
use crate::memory_forecast::PaceUpdate;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// How often a host sends the paces that it knows. They are passed on from host to host, so that each of 1,000 hosts
/// knows a new one after about 5 s; it stays valid for the life of the server.
const PACE_PERIOD: Duration = Duration::from_secs(1);
/// Periods between two log lines about the known paces.
const LOG_PERIODS: u32 = 10;
/// Hosts of the same failure domain in each round.
const LOCAL_TARGETS: usize = 2;
/// Hosts of other failure domains in each round: few, since links between domains are shared with callers and may be cut.
const REMOTE_TARGETS: usize = 1;

/// Sends the paces that this host knows periodically, if the feature is on.
pub(super) async fn run_pace_updates(host: Arc<GatewayHost>) {
    if !host.settings.features.memory_forecast {
        return;
    }
    let mut ticker = tokio::time::interval(PACE_PERIOD);
    ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    for period in 1_u32.. {
        ticker.tick().await;
        if period.is_multiple_of(LOG_PERIODS) {
            log_paces(&host);
        }
        let round = host.gossip_round.fetch_add(1, Ordering::Relaxed);
        let now = host.now();
        let Some(update) = host.state().paces.update(now, host.incarnation, round) else {
            continue;
        };
        let update = GatewayDatagram::Paces(update);
        for target in host.gossip_targets(round, LOCAL_TARGETS, REMOTE_TARGETS) {
            host.send(target, &update);
        }
    }
}

/// Logs how far the known paces are apart.
fn log_paces(host: &GatewayHost) {
    let mut relative: Vec<f64> = host.state().paces.relative_paces().values().copied().collect();
    relative.sort_unstable_by(f64::total_cmp);
    if let (Some(slowest), Some(fastest)) = (relative.first(), relative.last()) {
        let servers = relative.len();
        log::info!("event=paces_known servers={servers} slowest={slowest:.2} fastest={fastest:.2}");
    }
}

impl GatewayHost {
    /// Handles a message of another host.
    pub(super) fn receive_paces(&self, update: &PaceUpdate) {
        if !self.settings.features.memory_forecast {
            return;
        }
        let now = self.now();
        let mut state = self.state();
        let state = &mut *state;
        let fleet = &state.fleet;
        state.paces.apply(now, update, |server| fleet.entry(server).map(|entry| entry.service));
    }
}
