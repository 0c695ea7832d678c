//! Talks to the other daemons: takes their datagrams, keeps the members, and answers what they ask.

use super::gateway_host::GatewayHost;
use super::load_updates::run_load_updates;
use super::peer_messages::{GatewayDatagram, GatewayReply, GatewayRequest};
use crate::membership::TableAction;
use crate::peers::{PeerHandler, open_datagram, seal_datagram};
use crate::routes::RouteUpdate;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;

const TICK: Duration = Duration::from_millis(50);
/// The longest datagram that is read; of a longer one the end is lost, and with it the proof of its sender.
const LONGEST_DATAGRAM: usize = 4096;
const COMPARE_LIMIT: Duration = Duration::from_secs(2);

/// Runs everything between daemons.
pub(super) async fn run_peers(host: Arc<GatewayHost>, socket: Arc<UdpSocket>) {
    tokio::join!(
        receive(Arc::clone(&host), Arc::clone(&socket)),
        tick_members(Arc::clone(&host)),
        run_load_updates(host)
    );
}

async fn receive(host: Arc<GatewayHost>, socket: Arc<UdpSocket>) {
    let mut buffer = [0; LONGEST_DATAGRAM];
    loop {
        // An earlier datagram to a closed port may surface here as an error; it means nothing.
        let Ok((length, address)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        match open_datagram(&host.settings.shared_key, &buffer[..length]) {
            Ok(GatewayDatagram::Probe(message)) => {
                host.apply_view_mark(message.view);
                let now = host.now();
                let orders = host.state().members.receive(now, &message);
                host.execute_orders(orders);
            }
            Ok(GatewayDatagram::Load(news)) => host.apply_load_update(address, news),
            Ok(GatewayDatagram::Notice(notice)) => host.apply_notice(notice),
            Ok(GatewayDatagram::AgeRequest(question)) => host.reply_config_age(address, question),
            Ok(GatewayDatagram::AgeReply(answer)) => host.apply_age_reply(address, answer),
            Ok(GatewayDatagram::LimitRequest(from, ask)) => {
                host.receive_limit_request(address, from, &ask)
            }
            Ok(GatewayDatagram::LimitReply(answer)) => {
                // Nobody waits for one that comes late; the next question tells what was used.
                host.limit_replies.complete(answer.sequence, answer);
            }
            Ok(GatewayDatagram::LoanRequest(ask)) => host.receive_loan_request(address, &ask),
            Ok(GatewayDatagram::LoanReply(loan)) => host.receive_loan(&loan),
            Ok(GatewayDatagram::Crashes(report)) => host.apply_crash_report(&report),
            Ok(GatewayDatagram::ServerLimits(news)) => host.receive_server_limits(&news),
            Ok(GatewayDatagram::PermitRequest(from, ask)) => {
                host.receive_permit_request(address, from, &ask)
            }
            Ok(GatewayDatagram::PermitReply(reply)) => {
                host.send_replies.complete(reply.sequence, reply)
            }
            Ok(GatewayDatagram::LimitObservation(answered)) => {
                host.receive_limit_observation(&answered)
            }
            Ok(GatewayDatagram::RetryRequest(ask)) => host.receive_retry_request(address, &ask),
            Ok(GatewayDatagram::RetryReply(reply)) => {
                host.retry_replies.complete(reply.sequence, reply)
            }
            Err(error) => {
                log::warn!("event=datagram_refused peer={address} cause=\"{error}\"");
            }
        }
    }
}

async fn tick_members(host: Arc<GatewayHost>) {
    let mut ticker = tokio::time::interval(TICK);
    ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    join_peers(&host).await;
    loop {
        ticker.tick().await;
        let now = host.now();
        let orders = host.state().members.tick(now);
        host.execute_orders(orders);
    }
}

/// Learns the members from the first seed that answers, and their view from one of the own failure
/// domain: it is 270 KB for 3,000 servers. Each host begins with another seed: hosts that start together
/// have the same few.
async fn join_peers(host: &Arc<GatewayHost>) {
    let mut seeds = host.settings.seeds.clone();
    let first = usize::try_from(host.incarnation.0).unwrap_or_default() % seeds.len().max(1);
    seeds.rotate_left(first);
    for seed in seeds {
        if seed != host.peers_address && compare(host, seed).await {
            host.fetch_first_view(seed);
            return;
        }
    }
}

async fn compare(host: &Arc<GatewayHost>, address: SocketAddr) -> bool {
    let request = {
        let now = host.now();
        let state = host.state();
        let (members, crashes) = (state.members.all_updates(), state.crashes.full_report(now));
        GatewayRequest::Sync { members, crashes, limits: state.send_control.limits.all() }
    };
    let reply = host.peers.call(address, &request, COMPARE_LIMIT).await;
    let Ok(GatewayReply::Members { members, crashes, limits }) = reply else {
        return false;
    };
    let now = host.now();
    let orders = host.state().members.merge_all(now, &members);
    host.execute_orders(orders);
    host.apply_crash_report(&crashes);
    host.receive_server_limits(&limits);
    true
}

impl GatewayHost {
    /// Carries out what the membership table wants done.
    pub(super) fn execute_orders(self: &Arc<Self>, orders: Vec<TableAction>) {
        for order in orders {
            match order {
                TableAction::Send(address, message) => {
                    self.send(address, &GatewayDatagram::Probe(message));
                }
                TableAction::FetchView(address) => self.fetch_view(address),
                TableAction::Compare(address) => {
                    let host = Arc::clone(self);
                    tokio::spawn(async move { compare(&host, address).await });
                }
                TableAction::Died(incarnation) => {
                    log::info!("event=member_died incarnation={incarnation}");
                }
            }
        }
    }

    pub(super) fn send(&self, address: SocketAddr, message: &GatewayDatagram) {
        match seal_datagram(&self.settings.shared_key, message) {
            Ok(bytes) if bytes.len() > LONGEST_DATAGRAM => {
                log::error!("event=datagram_too_long peer={address} bytes={}", bytes.len());
            }
            Ok(bytes) => {
                let (sent, sent_bytes) = message.counters();
                let mut metrics = self.metrics();
                metrics.add("gossip_sent_bytes", bytes.len() as u64);
                metrics.add(sent, 1);
                metrics.add(sent_bytes, bytes.len() as u64);
                drop(metrics);
                // A full socket buffer loses a datagram as the network may; each is repeated.
                drop(self.socket.try_send_to(&bytes, address));
            }
            Err(error) => log::warn!("event=datagram_unsendable cause=\"{error}\""),
        }
    }
}

impl PeerHandler for GatewayHost {
    type Request = GatewayRequest;
    type Reply = GatewayReply;

    async fn handle(self: Arc<Self>, request: GatewayRequest) -> GatewayReply {
        match request {
            GatewayRequest::Sync { members, crashes, limits } => {
                let now = self.now();
                self.apply_crash_report(&crashes);
                self.receive_server_limits(&limits);
                let mut state = self.state();
                let orders = state.members.merge_all(now, &members);
                let (members, crashes) =
                    (state.members.all_updates(), state.crashes.full_report(now));
                let limits = state.send_control.limits.all();
                drop(state);
                self.execute_orders(orders);
                GatewayReply::Members { members, crashes, limits }
            }
            GatewayRequest::View { routes_version, known, fleet_revision, age } => {
                let age = self.config_age_reply(age);
                let now = self.now();
                let state = self.state();
                let routes = (state.routes.version() > routes_version)
                    .then(|| RouteUpdate::of(&state.routes, state.routes_revision, known.as_ref()));
                let fleet = (state.fleet.revision() > fleet_revision)
                    .then(|| state.fleet.update_since(now, fleet_revision));
                GatewayReply::View { routes, fleet, age }
            }
        }
    }
}
