use crate::keys::AttemptId;
use crate::orders::OrphanTracker;
use crate::peers::StartReply;
use crate::placement::ServerLedger;
use std::collections::HashMap;
use tokio::sync::oneshot;

/// A backend server whose ledger this host owns.
#[derive(Debug)]
pub struct OwnedServer {
    /// Ledger of the server.
    pub ledger: ServerLedger,
    /// Tracks attempts on the server that no host claims.
    pub orphans: OrphanTracker,
    /// Reply channels of the attempts that wait for their prefill to start.
    pub start_waiters: HashMap<AttemptId, oneshot::Sender<StartReply>>,
    /// Sequence number of the next cache event to read.
    pub next_cache_event: u64,
    /// Whether a wake-up of the prefill queue is already scheduled.
    pub wake_scheduled: bool,
    /// Distinguishes this ownership from an earlier one of the same server.
    pub term: u64,
}

impl OwnedServer {
    /// Creates the state of a newly acquired server.
    pub fn new(ledger: ServerLedger, term: u64) -> Self {
        Self {
            ledger,
            orphans: OrphanTracker::default(),
            start_waiters: HashMap::new(),
            next_cache_event: 0,
            wake_scheduled: false,
            term,
        }
    }
}
