use super::age_loop::poll_config_age;
use super::caller_loop::serve_callers;
use super::crash_store::run_crash_store;
use super::crash_updates::run_crash_updates;
use super::gateway_host::GatewayHost;
use super::health_reports::run_health_reports;
use super::host_account::run_account;
use super::limit_charge::run_limit_charges;
use super::limit_gossip::run_limit_gossip;
use super::origin_upkeep::run_origin_upkeep;
use super::peer_loop::run_peers;
use super::pressure_updates::run_pressure_updates;
use super::ready_server::{EndpointKind, serve_endpoint};
use super::return_updates::run_return_updates;
use super::server_dial::run_path_upkeep;
use super::slot_messages::run_slots;
use super::stage_loop::run_stages;
use super::stop_phase::StopPhase;
use super::stop_plan::StopPlan;
use super::version_store::run_version_store;
use super::view_loop::run_view;
use crate::Result;
use crate::in_flight::cut_lines;
use crate::peers::serve_peers;
use crate::settings::GatewaySettings;
use crate::telemetry::lift_line_rate;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};

const DRAIN_POLL: Duration = Duration::from_millis(50);

/// A running gateway daemon.
#[derive(Debug)]
pub struct Gateway {
    /// Shared state of the daemon.
    pub host: Arc<GatewayHost>,
    /// Address on which callers connect.
    pub callers: SocketAddr,
    /// Address of the readiness endpoint that the platform polls.
    pub ready: SocketAddr,
    /// Address at which peers reach the daemon.
    pub peers: SocketAddr,
    /// Address on which it listens for peers.
    pub peers_listen: SocketAddr,
    /// Address on which metrics are served.
    pub metrics: SocketAddr,
}

/// Binds all listeners and starts the daemon's tasks.
///
/// # Errors
/// If a port cannot be bound.
pub async fn start_gateway(settings: GatewaySettings) -> Result<Gateway> {
    let callers_listener = TcpListener::bind(settings.callers_listen).await?;
    let ready_listener = TcpListener::bind(settings.ready_listen).await?;
    let peers_listener = TcpListener::bind(settings.peers_listen).await?;
    let peers = peers_listener.local_addr()?;
    let socket = Arc::new(UdpSocket::bind(peers).await?);
    let metrics_listener = TcpListener::bind(settings.metrics_listen).await?;
    let callers = callers_listener.local_addr()?;
    let ready = ready_listener.local_addr()?;
    let metrics = metrics_listener.local_addr()?;
    let advertised = settings.peers_advertise.unwrap_or(peers);
    let host = Arc::new(GatewayHost::new(settings, advertised, Arc::clone(&socket)));
    let key = host.settings.shared_key.clone();
    let unproven = Arc::clone(&host.rooms.unproven);
    tokio::spawn(serve_peers(peers_listener, key, Arc::clone(&host), unproven));
    tokio::spawn(run_peers(Arc::clone(&host), socket));
    tokio::spawn(serve_callers(callers_listener, Arc::clone(&host)));
    tokio::spawn(serve_endpoint(ready_listener, Arc::clone(&host), EndpointKind::Ready));
    tokio::spawn(serve_endpoint(metrics_listener, Arc::clone(&host), EndpointKind::Metrics));
    tokio::spawn(run_view(Arc::clone(&host)));
    tokio::spawn(run_stages(Arc::clone(&host)));
    tokio::spawn(poll_config_age(Arc::clone(&host)));
    tokio::spawn(run_limit_charges(Arc::clone(&host)));
    tokio::spawn(run_crash_updates(Arc::clone(&host)));
    tokio::spawn(run_limit_gossip(Arc::clone(&host)));
    tokio::spawn(run_pressure_updates(Arc::clone(&host)));
    tokio::spawn(run_crash_store(Arc::clone(&host)));
    tokio::spawn(run_origin_upkeep(Arc::clone(&host)));
    tokio::spawn(run_version_store(Arc::clone(&host)));
    if host.settings.features.server_slots {
        tokio::spawn(run_slots(Arc::clone(&host)));
    }
    tokio::spawn(run_path_upkeep(Arc::clone(&host)));
    tokio::spawn(run_account(Arc::clone(&host)));
    if host.settings.features.return_times {
        tokio::spawn(run_return_updates(Arc::clone(&host)));
    }
    if host.settings.features.shared_health {
        tokio::spawn(run_health_reports(Arc::clone(&host)));
    }
    log::info!(
        "event=started incarnation={} callers={callers} ready={ready} peers={peers} metrics={metrics}",
        host.incarnation
    );
    Ok(Gateway { host, callers, ready, peers: advertised, peers_listen: peers, metrics })
}

impl GatewayHost {
    /// Shuts down gracefully: first the platform stops routing callers here, then the host reads no more
    /// requests, and finally it exits once the requests in flight have ended or the platform's grace period
    /// is over. Names what the exit cuts off, and returns how many requests and connections that are.
    pub async fn stop_gracefully(self: &Arc<Self>) -> usize {
        let plan = StopPlan::new(self.state().bounds.grace_period);
        let (began_at, plan) = *self.stop_plan.get_or_init(|| (self.now(), plan));
        let exit_at = began_at + plan.exit_after;
        self.stop_sender.send_replace(StopPhase::Draining);
        let drain_actions = {
            let mut state = self.state();
            state.members.start_draining();
            state.members.push_updates(usize::MAX, usize::MAX)
        };
        self.execute_actions(drain_actions);
        log::info!("event=stop_began in_flight={}", self.in_flight.len());
        tokio::time::sleep(plan.drain_time).await;
        self.stop_sender.send_replace(StopPhase::Closing);
        // A connection that is told to close may still read a request in the same scheduler tick, so that
        // only a later check can show that nothing is in flight.
        tokio::time::sleep(DRAIN_POLL).await;
        while !self.in_flight.is_empty() && self.now() < exit_at {
            tokio::time::sleep(DRAIN_POLL).await;
        }
        self.stop_sender.send_replace(StopPhase::Ending);
        // Leaves time for finished answers to be sent from the socket buffers.
        tokio::time::sleep(DRAIN_POLL).await;
        lift_line_rate();
        for line in cut_lines(self.now(), &self.in_flight) {
            log::warn!("{line}");
        }
        let cut = self.in_flight.len();
        let requests = self.in_flight.requests();
        log::info!("event=stopped in_flight={cut} requests={requests}");
        cut
    }
}
