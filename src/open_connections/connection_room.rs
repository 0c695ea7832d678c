use super::{ConnectionGauge, ConnectionKey, ConnectionPhase, ConnectionTable, TableOpening};
use crate::Error;
use crate::host::lock;
use crate::keys::HostClock;
use crate::resource_plan::RoomBounds;
use crate::telemetry::BoundedNotice;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::task::AbortHandle;

/// A body that made no progress for this long goes when another one needs its room.
const BODY_STALL: Duration = Duration::from_secs(2);

/// The connections that are open at one address of this host.
#[derive(Debug)]
pub struct ConnectionRoom {
    /// Name of the address in log lines and metrics.
    name: &'static str,
    clock: HostClock,
    state: Mutex<RoomState>,
    /// Requests that were sent before the answer to the one before them, and are worked on.
    pub(super) ahead: Arc<Semaphore>,
    closed: AtomicU64,
    refused: AtomicU64,
}

#[derive(Debug)]
struct RoomState {
    table: ConnectionTable,
    tasks: HashMap<ConnectionKey, AbortHandle>,
    notice: BoundedNotice,
    unproven: BoundedNotice,
}

/// How a connection was admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RoomAdmission {
    /// There was room.
    HadRoom,
    /// Others were closed for it.
    MadeRoom,
}

/// Figures about the connections at an address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RoomCounts {
    /// Connections that are open.
    pub open: usize,
    /// Bytes that they occupy, as far as they are known.
    pub bytes: usize,
    /// Connections that were closed to make room, or since they took nothing of their answers, since the start.
    pub closed: u64,
    /// Connections and requests that were refused for want of room, since the start.
    pub refused: u64,
}

impl ConnectionRoom {
    /// An empty room. `name` appears in log lines and metrics.
    pub fn new(name: &'static str, bounds: RoomBounds) -> Self {
        let table = ConnectionTable::new(bounds);
        Self {
            name,
            clock: HostClock::start(),
            state: Mutex::new(RoomState {
                table,
                tasks: HashMap::new(),
                notice: BoundedNotice::default(),
                unproven: BoundedNotice::default(),
            }),
            ahead: Arc::new(Semaphore::new(bounds.requests_ahead)),
            closed: AtomicU64::new(0),
            refused: AtomicU64::new(0),
        }
    }

    /// Name of the address in log lines and metrics.
    pub fn name(&self) -> &'static str {
        self.name
    }

    /// Figures about the connections.
    pub fn counts(&self) -> RoomCounts {
        let state = lock(&self.state);
        RoomCounts {
            open: state.table.len(),
            bytes: state.table.bytes(),
            closed: self.closed.load(Ordering::Relaxed),
            refused: self.refused.load(Ordering::Relaxed),
        }
    }

    /// The figures in the Prometheus text format.
    pub fn prometheus_text(&self) -> String {
        let (name, counts) = (self.name, self.counts());
        let figures = [
            ("connections_open", counts.open as u64),
            ("connections_bytes", counts.bytes as u64),
            ("connections_closed_total", counts.closed),
            ("connections_refused_total", counts.refused),
        ];
        let line = |(figure, value): (&str, u64)| {
            format!("tealcleat_{figure}{{door=\"{name}\"}} {value}\n")
        };
        figures.into_iter().map(line).collect()
    }

    /// Admits a new connection that occupies `bytes`; `None` if there is no room, and none can be made.
    pub(super) fn open(
        self: &Arc<Self>,
        bytes: usize,
    ) -> Option<(Arc<ConnectionGauge>, RoomAdmission)> {
        let now = self.clock.now();
        let mut state = lock(&self.state);
        match state.table.open(now, bytes) {
            TableOpening::Admitted(key, closed) => {
                self.end_tasks(&mut state, &closed);
                let had_room = closed.is_empty();
                let admission =
                    if had_room { RoomAdmission::HadRoom } else { RoomAdmission::MadeRoom };
                Some((Arc::new(ConnectionGauge::new(Arc::clone(self), key)), admission))
            }
            TableOpening::Refused => {
                self.refused.fetch_add(1, Ordering::Relaxed);
                self.tell(&mut state, 1);
                None
            }
        }
    }

    /// Names the task that serves a connection, which ends when the connection is closed to make room.
    pub(super) fn attach(&self, key: ConnectionKey, task: AbortHandle) {
        // The task may have ended and left the table by now; its handle would stay forever.
        if !task.is_finished() {
            lock(&self.state).tasks.insert(key, task);
        }
    }

    pub(super) fn set_phase(&self, key: ConnectionKey, phase: ConnectionPhase) {
        lock(&self.state).table.set_phase(self.clock.now(), key, phase);
    }

    pub(super) fn record_progress(&self, key: ConnectionKey) {
        lock(&self.state).table.record_progress(self.clock.now(), key);
    }

    pub(super) fn set_bytes(&self, key: ConnectionKey, bytes: usize) {
        let mut state = lock(&self.state);
        let closed = state.table.set_bytes(key, bytes);
        self.end_tasks(&mut state, &closed);
    }

    /// Like [`Self::set_bytes`], but returns false, and changes nothing, if there is no room.
    pub(super) fn try_bytes(&self, key: ConnectionKey, bytes: usize) -> bool {
        let mut state = lock(&self.state);
        let closed = state.table.try_bytes(key, bytes);
        match &closed {
            Some(closed) => self.end_tasks(&mut state, closed),
            None => {
                self.refused.fetch_add(1, Ordering::Relaxed);
                self.tell(&mut state, 1);
            }
        }
        closed.is_some()
    }

    /// Closes a connection whose request has stalled, so that the room of its body is free for others.
    pub(super) fn close_stalled_request(&self) {
        let mut state = lock(&self.state);
        let closed = state.table.close_stalled_request(self.clock.now(), BODY_STALL);
        self.end_tasks(&mut state, closed.as_slice());
    }

    /// Logs that a peer did not prove itself.
    pub(super) fn record_unproven(&self, peer: Option<SocketAddr>, error: &Error) {
        let count = lock(&self.state).unproven.record(self.clock.now(), 1);
        if let Some(count) = count {
            log::warn!("event=peer_unproven count={count} peer={peer:?} cause=\"{error}\"");
        }
    }

    /// Closes the connections that took nothing of their answers for too long.
    pub(super) fn close_stalled_answers(&self) {
        let mut state = lock(&self.state);
        let closed = state.table.close_stalled_answers(self.clock.now());
        self.end_tasks(&mut state, &closed);
    }

    pub(super) fn close(&self, key: ConnectionKey) {
        let mut state = lock(&self.state);
        state.table.close(key);
        state.tasks.remove(&key);
    }

    /// Ends the tasks of connections that were closed to make room.
    fn end_tasks(&self, state: &mut RoomState, closed: &[ConnectionKey]) {
        if closed.is_empty() {
            return;
        }
        for key in closed {
            if let Some(task) = state.tasks.remove(key) {
                task.abort();
            }
        }
        self.closed.fetch_add(closed.len() as u64, Ordering::Relaxed);
        self.tell(state, closed.len() as u64);
    }

    /// Logs that there is no room, at most once in a while.
    fn tell(&self, state: &mut RoomState, count: u64) {
        let Some(count) = state.notice.record(self.clock.now(), count) else { return };
        let (name, open, bytes) = (self.name, state.table.len(), state.table.bytes());
        log::warn!("event=connections_closed door={name} count={count} open={open} bytes={bytes}");
    }
}
