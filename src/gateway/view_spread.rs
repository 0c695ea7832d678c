//! Spreads views between hosts: who is told of a newer one, and from whom it is fetched.

use super::gateway_host::{GatewayHost, ViewSource};
use super::peer_messages::{GatewayReply, GatewayRequest};
use super::store_contact::FollowedKind;
use crate::host::lock;
use crate::keys::mix_hash;
use crate::peers::PeerTimeouts;
use crate::routes::{RouteTable, RouteUpdate};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// A reply begins within a round trip, if its host is not busy with a large view of its own. A whole view of 3,000
/// servers is 270 KB, and a neighbour may hand it to dozens at once over a link of 10 Mbit/s: only pauses are bounded.
const FETCH_PATIENCE: PeerTimeouts =
    PeerTimeouts { reply: Duration::from_millis(400), pause: Duration::from_millis(400) };
/// The same for a host that has no view yet and nothing else to wait for.
const FIRST_PATIENCE: PeerTimeouts =
    PeerTimeouts { reply: Duration::from_millis(3000), pause: Duration::from_millis(1000) };
/// Neighbours that a host without a view asks for theirs before it lists the servers: with half of them just as new, one
/// of four has a view in nearly all cases.
const FIRST_TRIES: u64 = 4;
/// Hosts of the own failure domain told at once of a newly adopted view; each that adopts it tells
/// as many.
const VIEW_NEAR: usize = 3;
/// Hosts of each other failure domain that a watcher of the store tells at once: two, since one
/// datagram may be lost. Hosts that heard a view from another one do not tell other domains: each
/// domain has its own watcher, and their bytes are priced.
const VIEW_ABROAD: usize = 2;

impl GatewayHost {
    /// Tells a few hosts at once that this one has a newer view, from the store or from a peer.
    pub(super) fn announce_view(self: &Arc<Self>, source: ViewSource) {
        let abroad = match source {
            ViewSource::Store => VIEW_ABROAD,
            ViewSource::Peer => 0,
        };
        let orders = {
            let mut state = self.state();
            let mark = state.view_mark();
            state.members.set_view(mark);
            state.members.push_updates(VIEW_NEAR, abroad)
        };
        self.execute_orders(orders);
    }

    /// Fetches a newer view from another host, unless news are coming from one already.
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

    /// Fetches the first view of this host's life: from `seed`, or better from a neighbour. Of hosts that start together
    /// many know no more than this one, so that some are asked in turn.
    pub(super) fn fetch_first_view(self: &Arc<Self>, seed: SocketAddr) {
        let host = Arc::clone(self);
        tokio::spawn(async move {
            for salt in 0..FIRST_TRIES {
                let near = host.state().other_domain_member(mix_hash(host.incarnation.0, salt));
                let address = near.map_or(seed, |member| member.address);
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

    /// Puts a configuration in force that another host told; `known` was in force as it was asked.
    fn apply_route_update(&self, address: SocketAddr, known: &RouteTable, news: RouteUpdate) {
        let (revision, told) = (news.revision, news.route_count());
        match news.apply_to(known) {
            Ok(table) => {
                log::info!("event=config_heard peer={address} revision={revision} routes={told}");
                self.adopt_routes(revision, table, ViewSource::Peer);
            }
            // A host that stays behind asks the store.
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
        let informed = self.state().fleet.revision() > 0;
        let patience = if informed { FETCH_PATIENCE } else { FIRST_PATIENCE };
        let on_piece = || lock(&self.view_fetches).record_progress(self.now(), address);
        match self.peers.fetch(address, &request, patience, on_piece).await {
            Ok(GatewayReply::View { routes: news, fleet, age }) => {
                if let Some(news) = news {
                    self.apply_route_update(address, &routes, news);
                }
                if let Some(age) = age {
                    self.apply_age_reply(address, age);
                }
                if let Some(news) = fleet {
                    let now = self.now();
                    let (revision, partial) = (news.revision, news.is_partial);
                    let (changed, removed) = (news.servers.len(), news.removed.len());
                    let lives = self.state().fleet.apply_update(now, news);
                    log::info!(
                        "event=servers_heard peer={address} revision={revision} partial={partial} \
                         changed={changed} removed={removed}"
                    );
                    self.handle_incarnation_changes(revision, &lives);
                }
                self.announce_view(ViewSource::Peer);
            }
            Ok(GatewayReply::Members { .. }) => {
                log::warn!("event=peer_answer_unexpected peer={address}");
            }
            Err(error) => log::info!("event=view_not_fetched peer={address} cause=\"{error}\""),
        }
    }
}
