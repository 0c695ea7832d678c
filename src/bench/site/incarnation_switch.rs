use crate::host::lock;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tokio::sync::watch;

/// Where a stand-in server listens after a restart.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RestartAddress {
    /// Where it did before.
    Same,
    /// On another free port; the former one is closed.
    Other,
}

/// One life of a stand-in server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(in crate::bench) struct StandinIncarnation {
    /// Unix millisecond of its start; a stand-in says none until it is restarted.
    pub born: Option<u64>,
    pub address: Option<SocketAddr>,
    /// It has crashed: it listens nowhere until it starts again.
    pub is_down: bool,
}

/// The present life of a stand-in server; connections end with the life that accepted them.
#[derive(Debug, Clone, Default)]
pub(in crate::bench) struct IncarnationSwitch {
    life: watch::Sender<StandinIncarnation>,
    crashes: Arc<Mutex<Vec<String>>>,
}

impl IncarnationSwitch {
    /// The present life.
    pub fn current(&self) -> StandinIncarnation {
        *self.life.borrow()
    }

    /// The server listens at `address` from now on.
    pub fn move_to(&self, address: SocketAddr) {
        self.life.send_modify(|life| life.address = Some(address));
    }

    /// A new life begins.
    pub fn begin(&self, born: u64) {
        self.life.send_modify(|life| {
            life.born = Some(born);
            life.is_down = false;
        });
    }

    /// The server crashes under the request `id`: its connections break, and further ones are refused.
    pub fn crash(&self, id: &str) {
        lock(&self.crashes).push(id.to_owned());
        self.life.send_modify(|life| life.is_down = true);
    }

    /// Whether the server has crashed and not started again.
    pub fn is_down(&self) -> bool {
        self.life.borrow().is_down
    }

    /// Requests under which it crashed, in all of its lives.
    pub fn crashes(&self) -> Vec<String> {
        lock(&self.crashes).clone()
    }

    /// Waits until the server has started again after a crash.
    pub async fn restarted(&self) {
        // As below.
        drop(self.life.subscribe().wait_for(|life| !life.is_down).await);
    }

    /// Waits until the server has crashed.
    pub async fn crashed(&self) {
        // The sender lives as long as this switch: the wait ends only with a crash.
        drop(self.life.subscribe().wait_for(|life| life.is_down).await);
    }

    /// Waits until `life` is over.
    pub async fn ended(&self, life: StandinIncarnation) {
        // The sender lives as long as this switch: the wait ends only with the life.
        drop(self.life.subscribe().wait_for(|now| *now != life).await);
    }

    /// Waits until the server no longer listens at `address`.
    pub async fn left(&self, address: SocketAddr) {
        // As above.
        let elsewhere = |now: &StandinIncarnation| now.is_down || now.address != Some(address);
        drop(self.life.subscribe().wait_for(elsewhere).await);
    }
}
