//! Accepts the connections of a link before a backend server, and refuses them while it is down.

use super::answer_link::carry;
use super::soak_answer::AnswerFault;
use crate::bench::site::rebind_listener;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::net::SocketAddr;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Accepts connections at `address` while `opens` says so, and carries them to `target`.
pub(super) async fn accept_all(
    listener: TcpListener,
    address: SocketAddr,
    target: SocketAddr,
    mut opens: watch::Receiver<bool>,
    faults: watch::Receiver<Option<AnswerFault>>,
    seed: u64,
) {
    let mut listener = listener;
    let mut seeds = StdRng::seed_from_u64(seed);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => Some(accepted),
            () = turned(&mut opens, false) => None,
        };
        let Some(accepted) = accepted else {
            drop(listener);
            turned(&mut opens, true).await;
            listener = rebind_listener(address).await;
            continue;
        };
        let Ok((near, _)) = accepted else { return };
        let random = StdRng::seed_from_u64(seeds.random());
        let faults = faults.clone();
        // Whoever breaks off first ends both sides.
        tokio::spawn(async move { drop(carry(near, target, faults, random).await) });
    }
}

/// Waits until a link is open or not; for ever if it is gone.
async fn turned(opens: &mut watch::Receiver<bool>, wanted: bool) {
    if opens.wait_for(|is_open| *is_open == wanted).await.is_err() {
        std::future::pending().await
    }
}
