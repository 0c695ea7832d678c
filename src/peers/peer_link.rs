use super::link_driver::LinkDoubt;
use crate::keys::{HostClock, TimePoint};
use bytes::Bytes;
use h2::client::SendRequest;
use std::sync::Arc;
use std::sync::atomic::{AtomicI64, Ordering};
use std::time::Duration;

/// A connection that was idle for longer is not used any more, since the other side closes it soon.
const MAX_IDLE: Duration = Duration::from_secs(30);

/// A connection to another daemon and the time of the last data received on it.
#[derive(Debug, Clone)]
pub(super) struct PeerConnection {
    pub sender: SendRequest<Bytes>,
    pub opened_at: TimePoint,
    pub doubt: LinkDoubt,
    received_at: Arc<AtomicI64>,
}

impl PeerConnection {
    /// Wraps a connection that was opened now; the other side has authenticated itself on it.
    pub fn opened(sender: SendRequest<Bytes>, doubt: LinkDoubt, now: TimePoint) -> Self {
        Self { sender, opened_at: now, doubt, received_at: Arc::new(AtomicI64::new(now.0)) }
    }

    /// Records that data was received.
    pub fn record_received(&self, clock: &HostClock) {
        self.received_at.fetch_max(clock.now().0, Ordering::Relaxed);
    }

    /// Time at which data was last received.
    pub fn received_at(&self) -> TimePoint {
        TimePoint(self.received_at.load(Ordering::Relaxed))
    }

    fn is(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.received_at, &other.received_at)
    }
}

/// Connection state of another daemon.
#[derive(Debug, Default)]
pub(super) struct PeerLink {
    connection: Option<PeerConnection>,
    /// Time of the last connection attempt, if it failed.
    pub failed_at: Option<TimePoint>,
    /// Whether the last connection attempt was refused.
    pub refused: bool,
}

impl PeerLink {
    /// The kept connection, unless it was idle for too long or nothing was received on it since `silent_at`.
    ///
    /// Connections usually become silent together: if nothing was received on a connection since another one was found
    /// silent, it is more likely dead than alive, and a new connection costs two round trips.
    pub fn usable_connection(
        &mut self,
        now: TimePoint,
        silent_at: Option<TimePoint>,
    ) -> Option<PeerConnection> {
        let is_stale = |connection: &mut PeerConnection| {
            let received_at = connection.received_at();
            now.since(received_at) > MAX_IDLE || silent_at.is_some_and(|at| received_at < at)
        };
        drop(self.connection.take_if(is_stale));
        self.connection.clone()
    }

    /// Keeps a new connection.
    pub fn keep(&mut self, connection: PeerConnection) {
        *self = Self { connection: Some(connection), failed_at: None, refused: false };
    }

    /// Drops a connection if it is the kept one.
    pub fn discard(&mut self, connection: &PeerConnection) {
        drop(self.connection.take_if(|kept| kept.is(connection)));
    }
}
