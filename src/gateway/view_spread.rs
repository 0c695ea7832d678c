//! Exchanges views between hosts: which hosts are notified of a newer view, and from which host it is fetched.

use super::gateway_host::GatewayHost;
use super::peer_messages::{GatewayReply, GatewayRequest};
use super::store_contact::FollowedKind;
use super::view_source::ViewSource;
use crate::host::lock;
use crate::keys::mix_hash;
use crate::peers::PeerTimeouts;
use crate::routes::{RouteTable, RouteUpdate};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Timeouts of a fetch. A reply starts within a round trip, unless its host is busy fetching a large view itself. A
/// complete view of 3,000 servers is 270 KB, and a host may send it to dozens at once over a link of 10 Mbit/s, so that
/// only pauses in the transfer are bounded, not its whole duration.
const FETCH_TIMEOUTS: PeerTimeouts =
    PeerTimeouts { reply: Duration::from_millis(400), pause: Duration::from_millis(400) };
/// Timeouts for a host that has no view yet and nothing else to wait for.
const FIRST_TIMEOUTS: PeerTimeouts =
    PeerTimeouts { reply: Duration::from_millis(3000), pause: Duration::from_millis(1000) };
/// Hosts that a host without a view asks for theirs before it lists the servers. Even if half of them have just started
/// as well, one of four has a view in nearly all cases.
const FIRST_ATTEMPTS: u64 = 4;
/// Hosts of the same failure domain notified at once of a newly adopted view; each that adopts it
/// notifies as many.
const LOCAL_TARGETS: usize = 3;
/// Hosts of each other failure domain that a watcher of the store notifies at once: two, since a
/// datagram may be lost. Hosts that received a view from another host do not notify other domains: each
/// domain has its own watcher, which may be reached when links between domains are cut.
const REMOTE_TARGETS: usize = 2;

impl GatewayHost {
    /// Notifies a few hosts at once that this one has a newer view, from the store or from a peer.
    pub(super) fn announce_view(self: &Arc<Self>, source: ViewSource) {
        let remote = match source {
            ViewSource::Store => REMOTE_TARGETS,
            ViewSource::Peer => 0,
        };
        let actions = {
            let mut state = self.state();
            let mark = state.view_mark();
            state.members.set_view(mark);
            state.members.push_updates(LOCAL_TARGETS, remote)
        };
        self.execute_actions(actions);
    }

    /// Fetches a newer view from another host, unless a fetch is already making progress.
    pub(super) fn fetch_view(self: &Arc<Self>, address: SocketAddr) {
        if !lock(&self.view_fetches).begin(self.now(), address) {
            return;
        }
        let host = Arc::clone(self);
        tokio::spawn(async move {
            host.fetch_view_from(address).await;
            lock(&host.view_fetches).end(address);
        });
    }

    /// Fetches the first view of this host, preferably from a host of the same failure domain, otherwise from `seed`.
    /// Many hosts that start at the same time have no view themselves, so several are asked one after the other.
    pub(super) fn fetch_first_view(self: &Arc<Self>, seed: SocketAddr) {
        let host = Arc::clone(self);
        tokio::spawn(async move {
            for salt in 0..FIRST_ATTEMPTS {
                let local = host.state().same_domain_member(mix_hash(host.incarnation.0, salt));
                let address = local.map_or(seed, |member| member.address);
                if lock(&host.view_fetches).begin(host.now(), address) {
                    host.fetch_view_from(address).await;
                    lock(&host.view_fetches).end(address);
                }
                if host.state().fleet.revision() > 0 {
                    return;
                }
            }
        });
    }

    /// Adopts a configuration that another host sent; `known` was in force when it was requested.
    fn apply_route_update(&self, address: SocketAddr, known: &RouteTable, update: RouteUpdate) {
        let (revision, routes) = (update.revision, update.route_count());
        match update.apply_to(known) {
            Ok(table) => {
                log::info!("event=config_heard peer={address} revision={revision} routes={routes}");
                self.adopt_routes(revision, table, ViewSource::Peer);
            }
            // A host that stays behind queries the store.
            Err(error) => log::error!("event=config_unreadable peer={address} cause=\"{error}\""),
        }
    }

    async fn fetch_view_from(self: &Arc<Self>, address: SocketAddr) {
        let routes = self.routes();
        let request = {
            let now = self.now();
            let mut state = self.state();
            let is_behind = state.behind_for(now, FollowedKind::Routes).is_some();
            GatewayRequest::View {
                routes_version: routes.version(),
                known: is_behind.then(|| routes.digest()).flatten(),
                fleet_revision: state.fleet.revision(),
                age: state.config_age.next_request(now),
            }
        };
        let has_view = self.state().fleet.revision() > 0;
        let timeouts = if has_view { FETCH_TIMEOUTS } else { FIRST_TIMEOUTS };
        let on_progress = || lock(&self.view_fetches).record_progress(self.now(), address);
        let fetch = self.peers.fetch(address, &request, timeouts, on_progress);
        let fetched = if has_view {
            fetch.await
        } else {
            // With servers to send to, this host has to know which prompts crash them.
            tokio::join!(fetch, self.sync_part_crashes(address, FETCH_TIMEOUTS.reply)).0
        };
        match fetched {
            Ok(GatewayReply::View { routes: update, fleet, age }) => {
                if let Some(update) = update {
                    self.apply_route_update(address, &routes, update);
                }
                if let Some(age) = age {
                    self.apply_age_reply(address, age);
                }
                if let Some(update) = fleet {
                    let now = self.now();
                    let (revision, partial) = (update.revision, update.is_partial);
                    let (changed, removed) = (update.servers.len(), update.removed.len());
                    let incarnations = self.state().fleet.apply_update(now, update);
                    log::info!(
                        "event=servers_heard peer={address} revision={revision} partial={partial} \
                         changed={changed} removed={removed}"
                    );
                    self.handle_incarnation_changes(revision, &incarnations);
                }
                self.announce_view(ViewSource::Peer);
            }
            Ok(GatewayReply::Members { .. } | GatewayReply::PartCrashes(_)) => {
                log::warn!("event=peer_answer_unexpected peer={address}");
            }
            Err(error) => log::info!("event=view_not_fetched peer={address} cause=\"{error}\""),
        }
    }
}
