use crate::keys::{HostClock, TimePoint};
use bytes::Bytes;
use h2::client::SendRequest;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// A connection that has rested for longer is not used any more: the other side closes it soon.
const LONGEST_REST: Duration = Duration::from_secs(30);

/// A connection to another daemon, and when something was last heard on it.
#[derive(Debug, Clone)]
pub(super) struct PeerConnection {
    pub sender: SendRequest<Bytes>,
    pub opened_at: TimePoint,
    heard_at: Arc<AtomicU64>,
}

impl PeerConnection {
    /// A connection that was opened just now: the other side proved itself on it.
    pub fn opened(sender: SendRequest<Bytes>, now: TimePoint) -> Self {
        Self { sender, opened_at: now, heard_at: Arc::new(AtomicU64::new(now.0)) }
    }

    /// Something came on it.
    pub fn note_heard(&self, clock: &HostClock) {
        self.heard_at.fetch_max(clock.now().0, Ordering::Relaxed);
    }

    /// When something last came on it.
    pub fn heard_at(&self) -> TimePoint {
        TimePoint(self.heard_at.load(Ordering::Relaxed))
    }

    fn is(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.heard_at, &other.heard_at)
    }
}

/// What is kept of the way to another daemon.
#[derive(Debug, Default)]
pub(super) struct PeerLink {
    connection: Option<PeerConnection>,
    /// When no connection could be opened, if that was the last try.
    pub failed_at: Option<TimePoint>,
    /// The last try was refused.
    pub refused: bool,
}

impl PeerLink {
    /// The connection to be used, unless nothing was heard on it since `silent_at`.
    ///
    /// Connections mostly fall silent together: one that was not heard since another was found so is more likely
    /// dead than not, and a new one costs two round trips.
    pub fn trusted(
        &mut self,
        now: TimePoint,
        silent_at: Option<TimePoint>,
    ) -> Option<PeerConnection> {
        let is_doubtful = |connection: &mut PeerConnection| {
            let heard_at = connection.heard_at();
            now.since(heard_at) > LONGEST_REST || silent_at.is_some_and(|at| heard_at < at)
        };
        drop(self.connection.take_if(is_doubtful));
        self.connection.clone()
    }

    /// Keeps a new connection.
    pub fn keep(&mut self, connection: PeerConnection) {
        *self = Self { connection: Some(connection), failed_at: None, refused: false };
    }

    /// Keeps a connection no longer, if it is still the one that is kept.
    pub fn give_up(&mut self, connection: &PeerConnection) {
        drop(self.connection.take_if(|kept| kept.is(connection)));
    }
}
