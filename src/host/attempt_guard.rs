use super::AttemptState;
use super::host_state::{HostState, lock};
use crate::keys::{AttemptId, NameKey, ServerKey};
use crate::peers::AttemptReport;
use crate::placement::SlotClaim;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

const CANCEL_TRIES: u32 = 4;
const CANCEL_PAUSE: Duration = Duration::from_millis(150);

/// A server that an attempt uses, with its domain and address.
#[derive(Debug, Clone, Copy)]
pub(super) struct ServerLocation {
    pub key: ServerKey,
    pub domain: NameKey,
    pub address: SocketAddr,
}

/// Releases what an attempt holds when dropped, whether it succeeds, fails or loses its caller.
#[derive(Debug)]
pub(super) struct AttemptGuard {
    host: Arc<HostState>,
    attempt: AttemptId,
    prefill: Option<ServerLocation>,
    decode: Option<ServerLocation>,
    on_prefill_engine: bool,
    on_decode_engine: bool,
    final_report: AttemptReport,
    reports_to_owner: bool,
}

impl AttemptGuard {
    /// Registers an attempt; `reports_to_owner` is whether its progress is reported to the owners
    /// of its servers.
    pub fn new(
        host: &Arc<HostState>,
        attempt: AttemptId,
        max_tokens: u32,
        reports_to_owner: bool,
    ) -> Self {
        let claim = SlotClaim { attempt, running: false, max_tokens };
        lock(&host.attempts).insert(attempt, AttemptState { decode: None, claim });
        Self {
            host: Arc::clone(host),
            attempt,
            prefill: None,
            decode: None,
            on_prefill_engine: false,
            on_decode_engine: false,
            final_report: AttemptReport::GivenUp,
            reports_to_owner,
        }
    }

    /// Records that a decode slot is held.
    pub fn hold_decode(&mut self, server: ServerLocation) {
        self.decode = Some(server);
        self.update_state(|state| state.decode = Some(server.key));
    }

    /// Releases the held slot.
    pub fn release_decode(&mut self) {
        if let Some(server) = self.decode.take() {
            self.send_report(server, AttemptReport::GivenUp);
            self.update_state(|state| state.decode = None);
        }
    }

    /// Records that the prefill is sent to its engine.
    pub fn begin_prefill(&mut self, server: ServerLocation) {
        self.prefill = Some(server);
        self.on_prefill_engine = true;
    }

    /// Records how the prefill ended; after a failure the engine may still hold the attempt.
    pub fn end_prefill(&mut self, report: AttemptReport) {
        self.on_prefill_engine = report == AttemptReport::Failed;
        if let Some(server) = self.prefill {
            self.send_report(server, report);
            if !self.on_prefill_engine {
                self.prefill = None;
            }
        }
    }

    /// Records that the attempt is sent to its decode engine.
    pub fn begin_decode(&mut self) {
        self.on_decode_engine = true;
    }

    /// Records that the KV cache has arrived and the engine decodes.
    pub fn record_decoding(&mut self, max_tokens: u32) {
        if let Some(server) = self.decode {
            self.send_report(server, AttemptReport::Decoding { max_tokens });
            self.update_state(|state| state.claim.running = true);
        }
    }

    /// Records that the decode engine ended the stream itself.
    pub fn end_decode(&mut self, produced: u32) {
        self.on_decode_engine = false;
        self.final_report = AttemptReport::Ended { produced };
    }

    /// Records that the decode engine failed or stalled; it may still hold the attempt.
    pub fn fail_decode(&mut self) {
        self.final_report = AttemptReport::Failed;
    }

    fn send_report(&self, server: ServerLocation, report: AttemptReport) {
        if self.reports_to_owner {
            self.host.report(server.key, server.domain, self.attempt, report);
        }
    }

    fn update_state(&self, change: impl FnOnce(&mut AttemptState)) {
        if let Some(state) = lock(&self.host.attempts).get_mut(&self.attempt) {
            change(state);
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        lock(&self.host.attempts).remove(&self.attempt);
        if let Some(server) = self.prefill.filter(|_| self.on_prefill_engine) {
            self.send_report(server, AttemptReport::GivenUp);
            spawn_cancel(&self.host, server, self.attempt);
        }
        if let Some(server) = self.decode {
            self.send_report(server, self.final_report);
            if self.on_decode_engine {
                spawn_cancel(&self.host, server, self.attempt);
            }
        }
    }
}

/// Sends cancel requests until the engine confirms one. If none is confirmed, the owner's orphan
/// tracker cancels the attempt.
fn spawn_cancel(host: &Arc<HostState>, server: ServerLocation, attempt: AttemptId) {
    let host = Arc::clone(host);
    tokio::spawn(async move {
        for _ in 0..CANCEL_TRIES {
            if host.engines.cancel(server.address, attempt.to_string()).await.is_ok() {
                host.metrics().add("cancels_confirmed", 1);
                return;
            }
            tokio::time::sleep(CANCEL_PAUSE).await;
        }
        log::warn!("event=cancel_unconfirmed attempt={attempt} server={}", server.address);
    });
}
