use crate::keys::AttemptId;
use crate::orders::OrphanTracker;
use crate::peers::StartReply;
use crate::placement::ServerLedger;
use std::collections::HashMap;
use tokio::sync::oneshot;

/// A backend server whose book this host keeps.
#[derive(Debug)]
pub struct OwnedServer {
    /// The book.
    pub book: ServerLedger,
    /// Attempts that nobody claims.
    pub sweep: OrphanTracker,
    /// Who waits for a prefill to start.
    pub waiters: HashMap<AttemptId, oneshot::Sender<StartReply>>,
    /// Sequence number of the cache events read so far.
    pub cache_next: u64,
    /// Whether a wake-up of the queue is due already.
    pub wake_due: bool,
    /// Sets this ownership apart from an earlier one of the same server.
    pub term: u64,
}

impl OwnedServer {
    /// Ownership that just began.
    pub fn new(book: ServerLedger, term: u64) -> Self {
        Self {
            book,
            sweep: OrphanTracker::default(),
            waiters: HashMap::new(),
            cache_next: 0,
            wake_due: false,
            term,
        }
    }
}
