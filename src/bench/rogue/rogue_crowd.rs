use super::RogueKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// Pause before a client opens its connection again.
const REOPEN_PAUSE: Duration = Duration::from_millis(400);
/// The clients of a crowd open their first connections one after the other within this time.
const OPENING_TIME: Duration = Duration::from_millis(800);
/// A crowd leaves by itself after this time.
const MOST_TIME: Duration = Duration::from_secs(90);

/// Where a crowd goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RogueTarget {
    /// The address.
    pub address: SocketAddr,
    /// The path of its requests.
    pub path: String,
}

/// Clients of one kind that all do the same, each on one connection at a time; dropping the crowd closes all of them.
#[derive(Debug)]
pub struct RogueCrowd {
    clients: JoinSet<()>,
    opened: Arc<AtomicU64>,
}

impl RogueCrowd {
    /// Starts `size` clients.
    pub fn start(kind: RogueKind, target: &RogueTarget, size: usize) -> Self {
        let mut clients = JoinSet::new();
        let opened = Arc::new(AtomicU64::new(0));
        for index in 0..size {
            let delay = OPENING_TIME.mul_f64(index as f64 / size as f64);
            let client = run_client(kind, target.clone(), index, Arc::clone(&opened));
            clients.spawn(async move {
                tokio::time::sleep(delay).await;
                // A crowd that nobody ends leaves here.
                let _ = tokio::time::timeout(MOST_TIME, client).await;
            });
        }
        Self { clients, opened }
    }

    /// Connections that were opened so far.
    pub fn opened(&self) -> u64 {
        self.opened.load(Ordering::Relaxed)
    }

    /// Closes all connections.
    pub async fn leave(mut self) {
        self.clients.shutdown().await;
    }
}

async fn run_client(kind: RogueKind, target: RogueTarget, index: usize, opened: Arc<AtomicU64>) {
    for round in 0.. {
        if let Ok(stream) = TcpStream::connect(target.address).await {
            opened.fetch_add(1, Ordering::Relaxed);
            let id = format!("{}{index}-{round}", kind.id_prefix());
            kind.script(&target.path, &id).play(stream).await;
        }
        tokio::time::sleep(REOPEN_PAUSE).await;
    }
}
