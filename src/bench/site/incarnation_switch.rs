use crate::host::lock;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tokio::sync::watch;

/// The address of a stand-in server after a restart.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RestartAddress {
    /// The same address as before.
    Same,
    /// Another free port; the previous one is closed.
    Other,
}

/// One incarnation of a stand-in server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(in crate::bench) struct StandinIncarnation {
    /// Start time in Unix milliseconds; a stand-in reports none until it is restarted.
    pub started_at: Option<u64>,
    pub address: Option<SocketAddr>,
    /// The server has crashed and does not listen until it is restarted.
    pub is_down: bool,
}

/// The current incarnation of a stand-in server. Connections end with the incarnation that accepted them.
#[derive(Debug, Clone, Default)]
pub(in crate::bench) struct IncarnationSwitch {
    incarnation: watch::Sender<StandinIncarnation>,
    crashes: Arc<Mutex<Vec<String>>>,
}

impl IncarnationSwitch {
    /// The current incarnation.
    pub fn current(&self) -> StandinIncarnation {
        *self.incarnation.borrow()
    }

    /// Records that the server listens at `address`.
    pub fn move_to(&self, address: SocketAddr) {
        self.incarnation.send_modify(|incarnation| incarnation.address = Some(address));
    }

    /// Begins a new incarnation.
    pub fn begin(&self, started_at: u64) {
        self.incarnation.send_modify(|incarnation| {
            incarnation.started_at = Some(started_at);
            incarnation.is_down = false;
        });
    }

    /// Crashes the server during the request `id`: its connections break, and new ones are refused.
    pub fn crash(&self, id: &str) {
        lock(&self.crashes).push(id.to_owned());
        self.incarnation.send_modify(|incarnation| incarnation.is_down = true);
    }

    /// Whether the server has crashed and not been restarted.
    pub fn is_down(&self) -> bool {
        self.incarnation.borrow().is_down
    }

    /// Ids of the requests that crashed the server, over all incarnations.
    pub fn crashes(&self) -> Vec<String> {
        lock(&self.crashes).clone()
    }

    /// Waits until the server is not down after a crash.
    pub async fn restarted(&self) {
        // The wait cannot fail, because `self` owns the sender.
        drop(self.incarnation.subscribe().wait_for(|incarnation| !incarnation.is_down).await);
    }

    /// Waits until the server has crashed.
    pub async fn crashed(&self) {
        // The wait cannot fail, because `self` owns the sender.
        drop(self.incarnation.subscribe().wait_for(|incarnation| incarnation.is_down).await);
    }

    /// Waits until `incarnation` is no longer the current one.
    pub async fn ended(&self, incarnation: StandinIncarnation) {
        // The wait cannot fail, because `self` owns the sender.
        drop(self.incarnation.subscribe().wait_for(|current| *current != incarnation).await);
    }

    /// Waits until the server no longer listens at `address`.
    pub async fn moved_from(&self, address: SocketAddr) {
        // The wait cannot fail, because `self` owns the sender.
        let elsewhere =
            |current: &StandinIncarnation| current.is_down || current.address != Some(address);
        drop(self.incarnation.subscribe().wait_for(elsewhere).await);
    }
}
