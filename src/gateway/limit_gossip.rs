//! Sends the limits that backend servers stated to other hosts, and reports to owners what this host sent.

use super::gateway_host::GatewayHost;
use super::peer_messages::GatewayDatagram;
use crate::keys::ServerKey;
use crate::server_limits::{
    CallRank, LOG_RETENTION, LimitChange, LimitUpdate, PermitPurpose, ServerLimit,
};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// How often a host sends limits that are new to it: they reach all of 300 hosts within half a second.
const GOSSIP_PERIOD: Duration = Duration::from_millis(100);
/// Hosts of the same failure domain in each round.
const LOCAL_TARGETS: usize = 4;
/// Hosts of other failure domains in each round: few, since links between domains are shared with callers and may be cut.
const REMOTE_TARGETS: usize = 2;
/// Reports to owners are sent every this many periods, while this host sent something recently.
const REPORT_PERIODS: u64 = 2;

/// Sends limits and reports to owners periodically, while there are any.
pub(super) async fn run_limit_gossip(host: Arc<GatewayHost>) {
    let mut ticker = tokio::time::interval(GOSSIP_PERIOD);
    ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut round = 0_u64;
    loop {
        ticker.tick().await;
        round += 1;
        host.send_server_limits();
        if round.is_multiple_of(REPORT_PERIODS) {
            host.report_sends();
        }
    }
}

impl GatewayHost {
    fn send_server_limits(&self) {
        let now = self.now();
        let updates = self.state().send_control.limits.unsent(now);
        if updates.is_empty() {
            return;
        }
        let round = self.gossip_round.fetch_add(1, Ordering::Relaxed);
        let datagram = GatewayDatagram::ServerLimits(updates);
        for target in self.gossip_targets(round, LOCAL_TARGETS, REMOTE_TARGETS) {
            self.send(target, &datagram);
        }
    }

    /// Reports to the owners of limited servers what this host sent there, and discards what this host granted for
    /// servers that other hosts own now.
    fn report_sends(&self) {
        let now = self.now();
        let limited: Vec<ServerKey> = self.state().send_control.limited(now);
        let since = self.state().send_control.ledger.term().renewed_at();
        let owned: Vec<ServerKey> = limited
            .iter()
            .copied()
            .filter(|server| self.state().has_owned_sends(now, *server, since))
            .collect();
        self.state().send_control.ledger.retain(now, |server| owned.contains(&server));
        for server in limited {
            if self.state().send_control.log.recent(now, server, LOG_RETENTION) > 0 {
                self.notify_owner(server, CallRank::default(), PermitPurpose::Report);
            }
        }
    }

    /// Merges limits that another host sent.
    pub(super) fn receive_server_limits(&self, updates: &[LimitUpdate]) {
        let now = self.now();
        let changes: Vec<LimitChange> = {
            let mut state = self.state();
            updates
                .iter()
                .filter_map(|update| state.send_control.limits.merge(now, update))
                .collect()
        };
        for change in changes {
            self.announce_limit_change(&change, "peer");
        }
    }

    /// Announces that a server's limit changed. The change is sent at once, so that 300 hosts know it within a few
    /// round trips instead of as many periods.
    pub(super) fn announce_limit_change(&self, change: &LimitChange, source: &str) {
        let now = self.now();
        let LimitUpdate { server, version, limit } = change.current;
        let (id, sent) = {
            let state = self.state();
            let id = state.fleet.entry(server).map(|entry| entry.id.clone());
            (id.unwrap_or_default(), state.send_control.log.recent(now, server, LOG_RETENTION))
        };
        let text = |limit: Option<ServerLimit>| {
            limit.map_or_else(|| "-".to_owned(), |limit| limit.to_string())
        };
        let (was, limit, seconds) = (text(change.previous), text(limit), LOG_RETENTION.as_secs());
        log::info!(
            "event=server_limit_changed server={id} life={:016x} limit={limit} was={was} \
             version={version} from={source} sent={sent} sent_within_s={seconds}",
            server.0
        );
        self.metrics().add("server_limit_changes", 1);
        self.send_server_limits();
    }
}
