use super::idle_connections::IdleConnections;
use crate::keys::TimePoint;
use crate::server_paths::ConnectionPath;
use std::net::SocketAddr;

/// A call without an answer so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct CallRecord {
    pub path: ConnectionPath,
    /// When its connection was opened.
    pub opened_at: TimePoint,
    pub sent_at: TimePoint,
    /// Whether its silence was recorded while it goes on; it is recorded once.
    pub is_silence_noted: bool,
}

impl CallRecord {
    /// Whether `other` is a record of the same call.
    pub fn is_same_call(&self, other: &Self) -> bool {
        let place = (self.path, self.opened_at, self.sent_at);
        place == (other.path, other.opened_at, other.sent_at)
    }
}

/// A call in flight on a connection. If it is dropped without an answer, and no other answer has arrived from
/// its server since, the idle connections to this server are closed: all open connections may stop responding at once
/// without being closed, and each one would fail another request.
#[derive(Debug)]
pub(super) struct PendingCall {
    idle: IdleConnections,
    address: SocketAddr,
    record: CallRecord,
    is_complete: bool,
}

impl PendingCall {
    pub const fn new(idle: IdleConnections, address: SocketAddr, record: CallRecord) -> Self {
        Self { idle, address, record, is_complete: false }
    }

    /// Marks the call as complete: its answer began to arrive, or its connection broke.
    pub fn complete(mut self) {
        self.is_complete = true;
    }
}

impl Drop for PendingCall {
    fn drop(&mut self) {
        self.idle.end_call(self.address, self.record, !self.is_complete);
    }
}
