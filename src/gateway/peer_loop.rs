//! Communication with the other daemons: receives their datagrams, maintains the membership, and answers their
//! requests.

use super::gateway_host::GatewayHost;
use super::load_updates::run_load_updates;
use super::pace_updates::run_pace_updates;
use super::peer_messages::{GatewayDatagram, GatewayReply, GatewayRequest};
use crate::Result;
use crate::membership::TableAction;
use crate::peers::{PeerHandler, TunnelOpening, open_datagram, seal_datagram};
use crate::routes::RouteUpdate;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;

const TICK_PERIOD: Duration = Duration::from_millis(50);
/// The longest datagram that is read. A longer one would be truncated, and so lose the proof of its sender.
const MAX_DATAGRAM_BYTES: usize = 4096;
const SYNC_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs all tasks of the communication between daemons.
pub(super) async fn run_peers(host: Arc<GatewayHost>, socket: Arc<UdpSocket>) {
    tokio::join!(
        receive(Arc::clone(&host), Arc::clone(&socket)),
        tick_members(Arc::clone(&host)),
        run_pace_updates(Arc::clone(&host)),
        run_load_updates(host)
    );
}

async fn receive(host: Arc<GatewayHost>, socket: Arc<UdpSocket>) {
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    loop {
        // An earlier datagram sent to a closed port may be reported here as an error, which is ignored.
        let Ok((length, address)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        match open_datagram(&host.settings.shared_key, &buffer[..length]) {
            Ok(GatewayDatagram::Probe(message)) => {
                host.apply_view_mark(message.view);
                let now = host.now();
                let actions = host.state().members.receive(now, &message);
                host.execute_actions(actions);
            }
            Ok(GatewayDatagram::Load(update)) => host.apply_load_update(address, update),
            Ok(GatewayDatagram::Notice(notice)) => host.apply_notice(notice),
            Ok(GatewayDatagram::AgeRequest(request)) => host.reply_config_age(address, request),
            Ok(GatewayDatagram::AgeReply(reply)) => host.apply_age_reply(address, reply),
            Ok(GatewayDatagram::LimitRequest(from, request)) => {
                host.receive_limit_request(address, from, &request)
            }
            Ok(GatewayDatagram::LimitReply(reply)) => {
                // No request waits for a late reply; the next request reports the units that were used.
                host.limit_replies.complete(reply.sequence, reply);
            }
            Ok(GatewayDatagram::LoanRequest(request)) => {
                host.receive_loan_request(address, &request)
            }
            Ok(GatewayDatagram::LoanReply(loan)) => host.receive_loan(&loan),
            Ok(GatewayDatagram::Crashes(report)) => host.apply_crash_report(&report),
            Ok(GatewayDatagram::ServerLimits(updates)) => host.receive_server_limits(&updates),
            Ok(GatewayDatagram::PermitRequest(from, request)) => {
                host.receive_permit_request(address, from, &request)
            }
            Ok(GatewayDatagram::PermitReply(reply)) => {
                host.permit_replies.complete(reply.sequence, reply)
            }
            Ok(GatewayDatagram::LimitObservation(observation)) => {
                host.receive_limit_observation(&observation)
            }
            Ok(GatewayDatagram::RetryRequest(request)) => {
                host.receive_retry_request(address, &request)
            }
            Ok(GatewayDatagram::RetryReply(reply)) => {
                host.retry_replies.complete(reply.sequence, reply)
            }
            Ok(GatewayDatagram::Health(report)) => host.receive_health_report(&report),
            Ok(GatewayDatagram::RetiredPressure | GatewayDatagram::RetiredReturns) => {}
            Ok(GatewayDatagram::Pressure(update)) => host.receive_pressure(update),
            Ok(GatewayDatagram::Returns(update)) => host.receive_returns(&update),
            Ok(GatewayDatagram::Paces(update)) => host.receive_paces(&update),
            Ok(GatewayDatagram::Slots(message)) => host.receive_slot_message(address, &message),
            Ok(GatewayDatagram::Origins(updates)) => host.receive_origins(&updates),
            Ok(GatewayDatagram::OriginRequest(request)) => {
                host.receive_origin_request(address, request)
            }
            Ok(GatewayDatagram::OriginReply(reply)) => {
                host.origin_replies.complete(reply.sequence, reply)
            }
            Ok(GatewayDatagram::PartCrashes(report)) => host.apply_part_report(&report),
            Err(error) => {
                log::warn!("event=datagram_refused peer={address} cause=\"{error}\"");
            }
        }
    }
}

async fn tick_members(host: Arc<GatewayHost>) {
    let mut ticker = tokio::time::interval(TICK_PERIOD);
    ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    join_peers(&host).await;
    loop {
        ticker.tick().await;
        let now = host.now();
        let actions = host.state().members.tick(now);
        host.execute_actions(actions);
    }
}

/// Learns the members from the first seed that answers, and fetches the view from a host of the same
/// failure domain, since a view is 270 KB for 3,000 servers. The seed to start with depends on the
/// incarnation, so that hosts that start at the same time do not all ask the same one.
async fn join_peers(host: &Arc<GatewayHost>) {
    let mut seeds = host.settings.seeds.clone();
    let first = usize::try_from(host.incarnation.0).unwrap_or_default() % seeds.len().max(1);
    seeds.rotate_left(first);
    for seed in seeds {
        if seed != host.peers_address && sync_state(host, seed).await {
            host.fetch_first_view(seed);
            return;
        }
    }
}

async fn sync_state(host: &Arc<GatewayHost>, address: SocketAddr) -> bool {
    let request = {
        let now = host.now();
        let state = host.state();
        let (members, crashes) = (state.members.all_updates(), state.crashes.full_report(now));
        GatewayRequest::Sync { members, crashes, limits: state.send_control.limits.all() }
    };
    let reply = host.peers.call(address, &request, SYNC_TIMEOUT).await;
    let Ok(GatewayReply::Members { members, crashes, limits }) = reply else {
        return false;
    };
    let now = host.now();
    let actions = host.state().members.merge_all(now, &members);
    host.execute_actions(actions);
    host.apply_crash_report(&crashes);
    host.receive_server_limits(&limits);
    host.sync_part_crashes(address, SYNC_TIMEOUT).await;
    true
}

impl GatewayHost {
    /// Carries out the actions that the membership table requests.
    pub(super) fn execute_actions(self: &Arc<Self>, actions: Vec<TableAction>) {
        for action in actions {
            match action {
                TableAction::Send(address, message) => {
                    self.send(address, &GatewayDatagram::Probe(message));
                }
                TableAction::FetchView(address) => self.fetch_view(address),
                TableAction::Compare(address) => {
                    let host = Arc::clone(self);
                    tokio::spawn(async move { sync_state(&host, address).await });
                }
                TableAction::Died(incarnation) => {
                    log::info!("event=member_died incarnation={incarnation}");
                }
            }
        }
    }

    pub(super) fn send(&self, address: SocketAddr, message: &GatewayDatagram) {
        match seal_datagram(&self.settings.shared_key, message) {
            Ok(bytes) if bytes.len() > MAX_DATAGRAM_BYTES => {
                log::error!("event=datagram_too_long peer={address} bytes={}", bytes.len());
            }
            Ok(bytes) => {
                let (sent, sent_bytes) = message.counters();
                let mut metrics = self.metrics();
                metrics.add("gossip_sent_bytes", bytes.len() as u64);
                metrics.add(sent, 1);
                metrics.add(sent_bytes, bytes.len() as u64);
                drop(metrics);
                // A full socket buffer drops the datagram, as the network may; every message is sent again.
                drop(self.socket.try_send_to(&bytes, address));
            }
            Err(error) => log::warn!("event=datagram_unsendable cause=\"{error}\""),
        }
    }
}

impl PeerHandler for GatewayHost {
    type Request = GatewayRequest;
    type Reply = GatewayReply;

    async fn tunnel(self: Arc<Self>, server: SocketAddr, opening: TunnelOpening) -> Result<()> {
        self.serve_tunnel(server, opening).await
    }

    async fn handle(self: Arc<Self>, request: GatewayRequest) -> GatewayReply {
        match request {
            GatewayRequest::Sync { members, crashes, limits } => {
                let now = self.now();
                self.apply_crash_report(&crashes);
                self.receive_server_limits(&limits);
                let mut state = self.state();
                let actions = state.members.merge_all(now, &members);
                let (members, crashes) =
                    (state.members.all_updates(), state.crashes.full_report(now));
                let limits = state.send_control.limits.all();
                drop(state);
                self.execute_actions(actions);
                GatewayReply::Members { members, crashes, limits }
            }
            GatewayRequest::PartCrashes(report) => {
                self.apply_part_report(&report);
                GatewayReply::PartCrashes(self.state().part_crashes.full_report(self.now()))
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
