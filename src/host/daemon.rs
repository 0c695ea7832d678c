use super::config_loop::run_config_loop;
use super::gossip_loop::{run_receiver, run_sender, run_ticker};
use super::host_state::{HostState, lock};
use super::ownership_loop::run_ownership;
use super::poll_loop::run_report_polls;
use crate::Result;
use crate::callers::serve_callers;
use crate::operators::serve_operators;
use crate::peers::{PeerRequest, serve_peers};
use crate::placement::{SlotClaim, SlotUse};
use crate::settings::HostSettings;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};

const DRAIN_POLL_PERIOD: Duration = Duration::from_millis(50);
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after the last stream for gossip to spread the update that this host is draining.
const DRAIN_SPREAD_TIME: Duration = Duration::from_millis(300);

/// A running daemon.
#[derive(Debug)]
pub struct Daemon {
    /// State of the host.
    pub host: Arc<HostState>,
    /// Address on which callers connect.
    pub callers: SocketAddr,
    /// Address on which peers connect.
    pub peers: SocketAddr,
    /// Address on which operators connect.
    pub operators: SocketAddr,
}

/// Binds all listeners and starts the daemon's tasks.
///
/// # Errors
/// If a port cannot be bound.
pub async fn start_daemon(settings: HostSettings) -> Result<Daemon> {
    let peers_listener = TcpListener::bind(settings.peers_listen).await?;
    let peers = peers_listener.local_addr()?;
    let socket = Arc::new(UdpSocket::bind(peers).await?);
    let callers_listener = TcpListener::bind(settings.callers_listen).await?;
    let callers = callers_listener.local_addr()?;
    let (outbox, outgoing) = tokio::sync::mpsc::unbounded_channel();
    let host = Arc::new(HostState::new(settings, peers, outbox));
    let operators = serve_operators(Arc::clone(&host), tokio::runtime::Handle::current())?;
    let key = host.settings.shared_key.clone();
    let unproven = Arc::clone(&host.unproven);
    tokio::spawn(serve_peers(peers_listener, key, Arc::clone(&host), unproven));
    tokio::spawn(serve_callers(callers_listener, Arc::clone(&host)));
    tokio::spawn(run_receiver(Arc::clone(&host), Arc::clone(&socket)));
    tokio::spawn(run_sender(Arc::clone(&host), socket, outgoing));
    tokio::spawn(run_ticker(Arc::clone(&host)));
    tokio::spawn(run_config_loop(Arc::clone(&host)));
    tokio::spawn(run_ownership(Arc::clone(&host)));
    if !host.settings.policy.queries_owners() {
        tokio::spawn(run_report_polls(Arc::clone(&host)));
    }
    log::info!(
        "event=started incarnation={} callers={callers} peers={peers} operators={operators} policy={}",
        host.incarnation,
        host.settings.policy.name()
    );
    Ok(Daemon { host, callers, peers, operators })
}

impl HostState {
    /// Begins a planned shutdown: the host accepts no new requests and hands over the ledgers that
    /// it owns; running streams continue.
    pub fn begin_drain(self: &Arc<Self>) {
        if self.draining.swap(true, Ordering::Relaxed) {
            return;
        }
        log::info!("event=drain_began in_flight={}", self.in_flight.load(Ordering::Relaxed));
        let actions = {
            let mut members = lock(&self.members);
            members.start_draining();
            members.push_updates(usize::MAX, usize::MAX)
        };
        let server_claims = self.ledger_claims();
        self.execute_actions(actions);
        let host = Arc::clone(self);
        self.runtime.spawn(async move { host.hand_over_claims(server_claims).await });
    }

    /// Waits until all streams have ended or the configured drain limit has passed; returns whether
    /// all ended.
    pub async fn finish_drain(self: &Arc<Self>) -> bool {
        let started_at = self.now();
        while self.in_flight.load(Ordering::Relaxed) > 0 {
            if self.now().since(started_at) >= self.settings.drain_limit {
                log::warn!("event=drain_cut in_flight={}", self.in_flight.load(Ordering::Relaxed));
                return false;
            }
            tokio::time::sleep(DRAIN_POLL_PERIOD).await;
        }
        tokio::time::sleep(DRAIN_SPREAD_TIME).await;
        log::info!("event=drain_ended");
        true
    }

    fn ledger_claims(&self) -> Vec<(crate::keys::ServerKey, Vec<SlotClaim>)> {
        let claim = |entry: &crate::placement::SlotEntry| SlotClaim {
            attempt: entry.attempt,
            running: entry.slot_use == SlotUse::Running,
            max_tokens: entry.max_tokens,
        };
        lock(&self.owned)
            .iter()
            .map(|(key, server)| (*key, server.ledger.slots.entries().iter().map(claim).collect()))
            .collect()
    }

    /// Sends the claims of its ledgers to the next owners, which also query all living hosts.
    async fn hand_over_claims(
        self: &Arc<Self>,
        server_claims: Vec<(crate::keys::ServerKey, Vec<SlotClaim>)>,
    ) {
        tokio::time::sleep(HAND_OVER_TIMEOUT / 3).await;
        for (key, claims) in server_claims {
            if let Some(owner) = self.owner_of(key, self.domain()) {
                let request = PeerRequest::HandOver(key, claims);
                let _ = self.call_peer(owner, &request, HAND_OVER_TIMEOUT).await;
            }
        }
    }
}
