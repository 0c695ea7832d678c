//! Sends and receives membership datagrams and drives the member table's timers.

use super::host_state::{HostState, lock};
use crate::membership::ProbeMessage;
use crate::peers::{PeerReply, PeerRequest, open_datagram};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::mpsc::UnboundedReceiver;

const TICK_PERIOD: Duration = Duration::from_millis(50);
const MAX_DATAGRAM_BYTES: usize = 2048;
const SYNC_TIMEOUT: Duration = Duration::from_secs(2);

/// Receives datagrams and passes them to the member table, for as long as the daemon runs.
pub(super) async fn run_receiver(host: Arc<HostState>, socket: Arc<UdpSocket>) {
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    loop {
        // The system may report here that an earlier datagram went to a closed port; ignore it.
        let Ok((length, address)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        match open_datagram::<ProbeMessage>(&host.settings.shared_key, &buffer[..length]) {
            Ok(message) => {
                host.metrics().add("gossip_received_bytes", length as u64);
                host.on_peer_version(message.view.config_version);
                let actions = lock(&host.members).receive(host.now(), &message);
                host.execute_actions(actions);
            }
            Err(error) => {
                log::warn!("event=datagram_refused peer={address} cause=\"{error}\"");
            }
        }
    }
}

/// Sends the datagrams of the member table.
pub(super) async fn run_sender(
    host: Arc<HostState>,
    socket: Arc<UdpSocket>,
    mut outbox: UnboundedReceiver<(SocketAddr, Vec<u8>)>,
) {
    while let Some((address, bytes)) = outbox.recv().await {
        host.metrics().add("gossip_sent_bytes", bytes.len() as u64);
        host.metrics().add("gossip_sent_messages", 1);
        let _ = socket.send_to(&bytes, address).await;
    }
}

/// Joins the cluster, then ticks the member table periodically.
pub(super) async fn run_ticker(host: Arc<HostState>) {
    let mut ticker = tokio::time::interval(TICK_PERIOD);
    ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    join_cluster(&host).await;
    host.has_joined.store(true, Ordering::Release);
    loop {
        ticker.tick().await;
        let now = host.now();
        let actions = lock(&host.members).tick(now);
        host.execute_actions(actions);
    }
}

/// Synchronises the whole member table with the first seed that answers.
async fn join_cluster(host: &Arc<HostState>) {
    for seed in host.settings.seeds.clone() {
        if sync_members(host, seed).await {
            return;
        }
    }
}

impl HostState {
    /// Synchronises the whole member table with another host in the background.
    pub(super) fn start_member_sync(self: &Arc<Self>, address: SocketAddr) {
        let host = Arc::clone(self);
        self.runtime.spawn(async move { sync_members(&host, address).await });
    }
}

/// Exchanges whole member tables with another host; returns whether it answered.
async fn sync_members(host: &Arc<HostState>, address: SocketAddr) -> bool {
    let updates = lock(&host.members).all_updates();
    let request = PeerRequest::Sync(updates);
    let Ok(PeerReply::Members(theirs)) = host.peers.call(address, &request, SYNC_TIMEOUT).await
    else {
        return false;
    };
    let actions = lock(&host.members).merge_all(host.now(), &theirs);
    host.execute_actions(actions);
    true
}
