//! Accepts connections on behalf of a backend server, and refuses them while that server is down.

use super::answer_fault::AnswerFault;
use super::answer_link::forward_connection;
use crate::bench::site::rebind_listener;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::net::SocketAddr;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Accepts connections at `address` while `is_open` holds true, and forwards them to `target`.
pub(super) async fn accept_all(
    listener: TcpListener,
    address: SocketAddr,
    target: SocketAddr,
    mut is_open: watch::Receiver<bool>,
    faults: watch::Receiver<Option<AnswerFault>>,
    seed: u64,
) {
    let mut listener = listener;
    let mut seeds = StdRng::seed_from_u64(seed);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => Some(accepted),
            () = wait_until(&mut is_open, false) => None,
        };
        let Some(accepted) = accepted else {
            drop(listener);
            wait_until(&mut is_open, true).await;
            listener = rebind_listener(address).await;
            continue;
        };
        let Ok((client, _)) = accepted else { return };
        let random = StdRng::seed_from_u64(seeds.random());
        let faults = faults.clone();
        // When either side ends its connection, both connections are closed.
        tokio::spawn(async move { drop(forward_connection(client, target, faults, random).await) });
    }
}

/// Waits until `is_open` holds `expected`. Never returns if the link has been dropped.
async fn wait_until(is_open: &mut watch::Receiver<bool>, expected: bool) {
    if is_open.wait_for(|is_open| *is_open == expected).await.is_err() {
        std::future::pending().await
    }
}
