//! Moves membership datagrams and works the table's clock.

use super::host_state::{HostState, lock};
use crate::membership::ProbeMessage;
use crate::peers::{PeerReply, PeerRequest, open_datagram};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::mpsc::UnboundedReceiver;

const TICK: Duration = Duration::from_millis(50);
const LONGEST_DATAGRAM: usize = 2048;
const COMPARE_LIMIT: Duration = Duration::from_secs(2);

/// Reads datagrams until the socket fails.
pub(super) async fn run_receiver(host: Arc<HostState>, socket: Arc<UdpSocket>) {
    let mut buffer = [0; LONGEST_DATAGRAM];
    loop {
        // An earlier datagram to a closed port may surface here as an error; it means nothing.
        let Ok((length, address)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        match open_datagram::<ProbeMessage>(&host.settings.shared_key, &buffer[..length]) {
            Ok(message) => {
                host.metrics().add("gossip_received_bytes", length as u64);
                host.hear_version(message.view.config_version);
                let actions = lock(&host.members).receive(host.now(), &message);
                host.execute_actions(actions);
            }
            Err(error) => {
                log::warn!("event=datagram_refused peer={address} cause=\"{error}\"");
            }
        }
    }
}

/// Sends what the table wants sent.
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

/// Works the table's clock.
pub(super) async fn run_ticker(host: Arc<HostState>) {
    let mut ticker = tokio::time::interval(TICK);
    ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    join(&host).await;
    loop {
        ticker.tick().await;
        let now = host.now();
        let actions = lock(&host.members).tick(now);
        host.execute_actions(actions);
    }
}

/// Fetches the whole table from the first seed that answers.
async fn join(host: &Arc<HostState>) {
    for seed in host.settings.seeds.clone() {
        if compare(host, seed).await {
            return;
        }
    }
}

impl HostState {
    /// Compares the whole table with another host's, in the background.
    pub(super) fn compare_members(self: &Arc<Self>, address: SocketAddr) {
        let host = Arc::clone(self);
        self.runtime.spawn(async move { compare(&host, address).await });
    }
}

async fn compare(host: &Arc<HostState>, address: SocketAddr) -> bool {
    let news = lock(&host.members).all_updates();
    let request = PeerRequest::Sync(news);
    let Ok(PeerReply::Members(theirs)) = host.peers.call(address, &request, COMPARE_LIMIT).await
    else {
        return false;
    };
    let actions = lock(&host.members).merge_all(host.now(), &theirs);
    host.execute_actions(actions);
    true
}
