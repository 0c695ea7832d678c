//! Tells other hosts of the limits that backend servers named, and owners of what this host sent.

use super::gateway_host::GatewayHost;
use super::peer_messages::GatewayDatagram;
use crate::keys::ServerKey;
use crate::server_limits::{AskPurpose, CallRank, LOG_TIME, LimitChange, LimitNews, ServerLimit};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// How often a host tells what is new to it: all of 300 hosts hear it within half a second (reckoned).
const TELL_PERIOD: Duration = Duration::from_millis(100);
/// Hosts of the own failure domain told each time.
const TELL_NEAR: usize = 4;
/// Hosts of other failure domains told each time; their bytes are priced.
const TELL_ABROAD: usize = 2;
/// Owners are told what this host sent in each of so many periods, while it sent something lately.
const TRAIL_PERIODS: u64 = 2;

/// Tells limits and trails while there are some.
pub(super) async fn run_limit_gossip(host: Arc<GatewayHost>) {
    let mut ticker = tokio::time::interval(TELL_PERIOD);
    ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut round = 0_u64;
    loop {
        ticker.tick().await;
        round += 1;
        host.send_server_limits();
        if round.is_multiple_of(TRAIL_PERIODS) {
            host.tell_trails();
        }
    }
}

impl GatewayHost {
    fn send_server_limits(&self) {
        let now = self.now();
        let news = self.state().sends.book.untold(now);
        if news.is_empty() {
            return;
        }
        let serial = self.load_serial.fetch_add(1, Ordering::Relaxed);
        let news = GatewayDatagram::ServerLimits(news);
        for target in self.load_targets(serial, TELL_NEAR, TELL_ABROAD) {
            self.send(target, &news);
        }
    }

    /// Tells the owners of servers that have a limit what this host sent there, and forgets what this host
    /// granted for servers that others own now.
    fn tell_trails(&self) {
        let now = self.now();
        let limited: Vec<ServerKey> = self.state().sends.limited(now);
        let since = self.state().sends.desk.term().looked_at();
        let owned: Vec<ServerKey> = limited
            .iter()
            .copied()
            .filter(|server| self.state().has_owned_sends(now, *server, since))
            .collect();
        self.state().sends.desk.retain(now, |server| owned.contains(&server));
        for server in limited {
            if self.state().sends.log.recent(now, server, LOG_TIME) > 0 {
                self.notify_owner(server, CallRank::default(), AskPurpose::Tell);
            }
        }
    }

    /// Takes over what another host told.
    pub(super) fn receive_server_limits(&self, news: &[LimitNews]) {
        let now = self.now();
        let changes: Vec<LimitChange> = {
            let mut state = self.state();
            news.iter().filter_map(|news| state.sends.book.merge(now, news)).collect()
        };
        for change in changes {
            self.announce_limit_change(&change, "peer");
        }
    }

    /// A server's limit changed, as far as this host knows: others are told at once, so that 300 hosts know within
    /// some round trips, and not within as many periods.
    pub(super) fn announce_limit_change(&self, change: &LimitChange, source: &str) {
        let now = self.now();
        let LimitNews { server, version, limit } = change.now;
        let (id, sent) = {
            let state = self.state();
            let id = state.fleet.entry(server).map(|entry| entry.id.clone());
            (id.unwrap_or_default(), state.sends.log.recent(now, server, LOG_TIME))
        };
        let text = |limit: Option<ServerLimit>| {
            limit.map_or_else(|| "-".to_owned(), |limit| limit.to_string())
        };
        let (was, limit, seconds) = (text(change.was), text(limit), LOG_TIME.as_secs());
        log::info!(
            "event=server_limit_changed server={id} life={:016x} limit={limit} was={was} \
             version={version} from={source} sent={sent} sent_within_s={seconds}",
            server.0
        );
        self.metrics().add("server_limit_changes", 1);
        self.send_server_limits();
    }
}
