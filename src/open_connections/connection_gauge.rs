use super::{ConnectionKey, ConnectionPhase, ConnectionRoom};
use crate::Error;
use crate::host::lock;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use tokio::sync::{Notify, OwnedSemaphorePermit};

/// What a connection occupies before anything arrived on it.
pub(super) const SILENT_BYTES: usize = 4 << 10;
/// What it occupies from then on: buffers of the HTTP library for both directions, and its state.
const ACTIVE_BYTES: usize = 28 << 10;
/// What a request at work occupies besides: its state, and the buffers of the connection to its server.
const WORK_BYTES: usize = 32 << 10;
/// Copies of a head that a request at work holds: as read, decoded, and as sent to servers.
const HEAD_COPIES: usize = 4;
/// What a connection occupies is counted in steps of this size.
const COUNT_STEP: usize = 4 << 10;
/// Bytes after which a transfer has made progress; a byte now and then is none.
const PROGRESS_BYTES: usize = 8 << 10;

/// Observes one connection from its opening to its end, and tells the table what it occupies and whether it waits for its
/// caller. Dropping it removes the connection from the table.
#[derive(Debug)]
pub struct ConnectionGauge {
    room: Arc<ConnectionRoom>,
    key: ConnectionKey,
    state: Mutex<GaugeState>,
    /// Whether the other side does not take what is written.
    is_blocked: AtomicBool,
    unblocked: Notify,
}

/// How far the request on a connection has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum RequestStage {
    /// There is none.
    #[default]
    None,
    /// Its head arrives.
    Head,
    /// Its head is complete, its body not.
    Body,
    /// It arrived whole, or is answered without its body; the answer is not handed over.
    AtWork,
}

impl RequestStage {
    const fn phase(self) -> ConnectionPhase {
        match self {
            Self::None => ConnectionPhase::Resting,
            Self::Head | Self::Body => ConnectionPhase::Receiving,
            Self::AtWork => ConnectionPhase::Answering,
        }
    }
}

#[derive(Debug, Default)]
struct GaugeState {
    stage: RequestStage,
    /// Whether there is room for the request that arrived.
    has_room: bool,
    /// Whether all that had arrived was read since the last answer.
    is_drained: bool,
    /// Longest head that is admitted; the HTTP library holds no more of what arrives.
    max_head_bytes: usize,
    /// Bytes that arrived and are no whole head yet.
    arrived_bytes: usize,
    /// Bytes of the head of the request at work.
    head_bytes: usize,
    /// What the table counts.
    counted_bytes: usize,
    /// Bytes transferred since the last progress.
    moved_bytes: usize,
}

impl ConnectionGauge {
    pub(super) fn new(room: Arc<ConnectionRoom>, key: ConnectionKey) -> Self {
        let state = GaugeState { is_drained: true, ..GaugeState::default() };
        let (is_blocked, unblocked) = (AtomicBool::new(false), Notify::new());
        Self { room, key, state: Mutex::new(state), is_blocked, unblocked }
    }

    pub(super) fn key(&self) -> ConnectionKey {
        self.key
    }

    /// Tells how long a head may be.
    pub(super) fn bound_heads(&self, max_bytes: usize) {
        lock(&self.state).max_head_bytes = max_bytes;
    }

    /// Closes a connection whose request has stalled, so that the room of its body is free for others.
    pub fn close_stalled_request(&self) {
        self.room.close_stalled_request();
    }

    /// Logs that the other side has not proved that it knows the key, at most once in a while.
    pub fn record_unproven(&self, peer: Option<SocketAddr>, error: &Error) {
        self.room.record_unproven(peer, error);
    }

    /// Records that `bytes` arrived; none at the end of the stream.
    pub(super) fn record_read(&self, bytes: usize) {
        if bytes == 0 {
            return;
        }
        let mut state = lock(&self.state);
        match state.stage {
            RequestStage::None => self.enter(&mut state, RequestStage::Head),
            RequestStage::Head | RequestStage::Body => {}
            // Sent ahead; it is counted once its request begins.
            RequestStage::AtWork => return,
        }
        if state.stage == RequestStage::Head {
            state.arrived_bytes = (state.arrived_bytes + bytes).min(state.max_head_bytes);
            self.count(&mut state);
        }
        self.record_moved(&mut state, bytes);
    }

    /// Records that nothing more has arrived.
    pub(super) fn record_drained(&self) {
        lock(&self.state).is_drained = true;
    }

    /// Records that `bytes` were written.
    pub(super) fn record_written(&self, bytes: usize) {
        if self.is_blocked.load(Ordering::Relaxed) {
            self.record_moved(&mut lock(&self.state), bytes);
        }
    }

    /// Records that the other side does not take what is written.
    pub(super) fn record_blocked(&self) {
        if !self.is_blocked.swap(true, Ordering::Relaxed) {
            self.room.set_phase(self.key, ConnectionPhase::Stalled);
        }
    }

    /// Records that all that was to be written was taken.
    pub(super) fn record_flushed(&self) {
        if self.is_blocked.swap(false, Ordering::Relaxed) {
            let stage = lock(&self.state).stage;
            self.room.set_phase(self.key, stage.phase());
            self.unblocked.notify_waiters();
        }
    }

    /// Records that the head of a request is complete, which has `head_bytes`. Returns whether it was sent ahead: before the
    /// answer to the request before it.
    fn begin_request(&self, head_bytes: usize) -> bool {
        let mut state = lock(&self.state);
        self.enter(&mut state, RequestStage::Body);
        (state.arrived_bytes, state.head_bytes) = (0, head_bytes);
        let bytes = state.occupied_bytes();
        state.has_room = self.room.try_bytes(self.key, bytes);
        if state.has_room {
            state.counted_bytes = bytes;
        }
        !std::mem::replace(&mut state.is_drained, false)
    }

    /// Whether there is room to work on the request that arrived; if not, it is to be refused.
    pub fn has_room(&self) -> bool {
        lock(&self.state).has_room
    }

    /// Records that a request arrived whole, or is answered without its body.
    pub fn end_receiving(&self) {
        self.enter(&mut lock(&self.state), RequestStage::AtWork);
    }

    /// Records that an answer was handed over to the connection.
    pub(super) fn end_answer(&self) {
        let mut state = lock(&self.state);
        self.enter(&mut state, RequestStage::None);
        (state.arrived_bytes, state.head_bytes, state.is_drained) = (0, 0, false);
        self.count(&mut state);
    }

    /// Waits until a request whose head is complete may begin: not before the answers to those before it were taken. Of the
    /// requests that were sent ahead only a few are at work at a time; such a request holds a permit.
    pub(super) async fn await_turn(&self, head_bytes: usize) -> Option<OwnedSemaphorePermit> {
        let is_ahead = self.begin_request(head_bytes);
        loop {
            let unblocked = self.unblocked.notified();
            if !self.is_blocked.load(Ordering::Relaxed) {
                break;
            }
            unblocked.await;
        }
        if !is_ahead {
            return None;
        }
        // Others are served between two requests of a connection that always has one more.
        tokio::task::yield_now().await;
        // The semaphore is never closed.
        Arc::clone(&self.room.ahead).acquire_owned().await.ok()
    }

    /// Records how far the request has come. While the other side takes nothing, the table knows that the connection stalls.
    fn enter(&self, state: &mut GaugeState, stage: RequestStage) {
        state.stage = stage;
        if !self.is_blocked.load(Ordering::Relaxed) {
            self.room.set_phase(self.key, stage.phase());
        }
    }

    /// Tells the table what the connection occupies, if that changed.
    fn count(&self, state: &mut GaugeState) {
        let bytes = state.occupied_bytes();
        if state.counted_bytes != bytes {
            state.counted_bytes = bytes;
            self.room.set_bytes(self.key, bytes);
        }
    }

    fn record_moved(&self, state: &mut GaugeState, bytes: usize) {
        state.moved_bytes += bytes;
        if state.moved_bytes >= PROGRESS_BYTES {
            state.moved_bytes = 0;
            self.room.record_progress(self.key);
        }
    }
}

impl GaugeState {
    /// What the connection occupies.
    fn occupied_bytes(&self) -> usize {
        let work_bytes = match self.stage {
            RequestStage::None | RequestStage::Head => 0,
            RequestStage::Body | RequestStage::AtWork => WORK_BYTES,
        };
        let held = self.arrived_bytes + self.head_bytes * HEAD_COPIES;
        ACTIVE_BYTES + work_bytes + held.next_multiple_of(COUNT_STEP)
    }
}

impl Drop for ConnectionGauge {
    fn drop(&mut self) {
        self.room.close(self.key);
    }
}
