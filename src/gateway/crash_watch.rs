//! Finds out which servers crashed under which requests, and holds back requests that crash servers.

use super::call_context::CallContext;
use super::gateway_host::GatewayHost;
use crate::Error;
use crate::fleet::ServerEntry;
use crate::keys::{RequestKey, ServerKey, TimePoint};
use crate::quarantine::{ConnectionLoss, CrashEvidence, RequestVerdict, SETTLE_TIME};
use std::sync::Arc;
use std::time::Duration;

/// Pause before a server that broke off is asked for: a process that ends closes its sockets one after the other.
const ASK_PAUSE: Duration = Duration::from_millis(30);
/// A server whose process has ended refuses connections within a round trip.
const ASK_LIMIT: Duration = Duration::from_millis(250);

/// The shortest wait for news that settle what is known of a crash.
const LEAST_WAIT: Duration = Duration::from_millis(20);

/// What becomes of a request that came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestAdmission {
    /// It is sent on.
    Admitted,
    /// It was held back, and is sent to one server to find out whether rightly.
    Trial(CrashEvidence),
    /// It is refused.
    HeldBack(CrashEvidence),
}

impl CallContext {
    /// The call to a server ended with `error`: if the server broke off in the middle, it may have crashed under
    /// this request.
    pub fn record_failure(&self, server: &ServerEntry, error: &Error) {
        if error.is_break_off() {
            self.host.note_break_off(server, self.contents, self.sent_at());
        }
    }

    /// A server answered this request whole.
    pub fn record_success(&self) {
        let now = self.host.now();
        self.host.state().crashes.record_served(now, self.contents);
    }

    /// Whether this request, which was sent to `sent` servers, must go to no further one since it crashes them. Asked
    /// before each send: a request under way learns of what it did elsewhere, and waits until that is settled.
    pub async fn is_held_back(&self, sent: u32) -> bool {
        let is_allowed = self.is_trial && sent == 0;
        !is_allowed && self.host.resolve_hold(self.id(), self.contents, self.time_left()).await
    }

    /// The same by what is settled already, where a wait would cost what servers keep for it, or delay its final answer.
    pub fn is_known_held_back(&self, sent: u32) -> bool {
        let is_allowed = self.is_trial && sent == 0;
        let verdict = self.host.state().crashes.verdict(self.contents);
        !is_allowed && verdict == RequestVerdict::Held
    }
}

impl GatewayHost {
    /// Whether a request is held back, as soon as that can be told: one that seems to crash servers waits until it is known
    /// who else was there. If that takes longer than it has `left`, or ever more servers crash meanwhile, it is sent on.
    async fn resolve_hold(&self, id: &str, request: RequestKey, left: Duration) -> bool {
        let patience = left.min(SETTLE_TIME);
        let (began, mut waited) = (self.now(), Duration::ZERO);
        loop {
            let verdict = self.state().crashes.verdict(request);
            match verdict {
                RequestVerdict::Held => return true,
                RequestVerdict::Unsettled { wait } if waited < patience => {
                    if waited.is_zero() {
                        log_wait(id, request, wait);
                    }
                    tokio::time::sleep(wait.max(LEAST_WAIT).min(patience - waited)).await;
                    waited = self.now().since(began);
                }
                RequestVerdict::Free | RequestVerdict::Unsettled { .. } => return false,
            }
        }
    }

    /// Decides on a request that came.
    pub(super) async fn admit(
        &self,
        id: &str,
        request: RequestKey,
        left: Duration,
    ) -> RequestAdmission {
        if !self.resolve_hold(id, request, left).await {
            return RequestAdmission::Admitted;
        }
        let now = self.now();
        let is_elected_leader = self.is_elected_leader();
        let mut state = self.state();
        let evidence = state.crashes.evidence(request);
        if is_elected_leader && state.crashes.take_trial(now, request) {
            return RequestAdmission::Trial(evidence);
        }
        state.crashes.record_return(now, request);
        RequestAdmission::HeldBack(evidence)
    }

    fn note_break_off(
        self: &Arc<Self>,
        server: &ServerEntry,
        request: RequestKey,
        began_at: TimePoint,
    ) {
        let key = server.key();
        let broken = ConnectionLoss { request, sent_at: began_at, lost_at: self.now() };
        let is_first = {
            let mut state = self.state();
            if state.crashes.has_crashed(key) {
                drop(state);
                self.note_crash(key, &server.id, &[broken], "known");
                return;
            }
            // A server that leaves as planned may end while a request is still there.
            state.fleet.is_ready(key) && state.unconfirmed_crashes.record_loss(key, broken)
        };
        if is_first {
            let (host, server) = (Arc::clone(self), server.clone());
            tokio::spawn(async move { host.ask_server(&server).await });
        }
    }

    /// Asks whether a server that broke off is still there. If it is, it has lost a connection, or hides behind
    /// something that accepts connections for it: then its entry tells later.
    async fn ask_server(&self, server: &ServerEntry) {
        tokio::time::sleep(ASK_PAUSE).await;
        let outcome = match self.pool.warm(server.address, ASK_LIMIT).await {
            Err(error) if error.is_refused_connection() => {
                let broken = self.state().unconfirmed_crashes.confirm(server.key());
                self.note_crash(server.key(), &server.id, &broken, "connection_refused");
                return;
            }
            Ok(()) => "reached".to_owned(),
            Err(error) => error.to_string(),
        };
        self.state().unconfirmed_crashes.record_probed(server.key());
        log::info!("event=server_asked server={} outcome=\"{outcome}\"", server.id);
    }

    /// Notes crashes of servers that were in doubt and whose entries went or name another life.
    pub(super) fn resolve_break_offs(&self) {
        let now = self.now();
        let crashed = {
            let mut state = self.state();
            let state = &mut *state;
            let fleet = &state.fleet;
            state.unconfirmed_crashes.settle(now, |key| fleet.entry(key).is_none())
        };
        for (server, broken) in crashed {
            self.note_crash(server, "-", &broken, "entry_gone");
        }
    }

    fn note_crash(&self, server: ServerKey, id: &str, all_broken: &[ConnectionLoss], sign: &str) {
        let now = self.now();
        for broken in all_broken {
            let (is_new, evidence) = {
                let mut state = self.state();
                let is_new = state.crashes.record_loss(now, server, broken);
                (is_new, state.crashes.evidence(broken.request))
            };
            if !is_new {
                continue;
            }
            self.metrics().add("crashes_noted", 1);
            let (life, request) = (server.0, broken.request);
            let ran_ms = broken.lost_at.since(broken.sent_at).as_millis();
            log::info!(
                "event=server_crashed server={id} life={life:016x} contents={request} sign={sign} \
                 ran_ms={ran_ms} {evidence} held_back={}",
                evidence.is_enough()
            );
        }
    }
}

fn log_wait(id: &str, request: RequestKey, wait: Duration) {
    let wait_ms = wait.as_millis();
    log::info!("event=crash_news_awaited request={id} contents={request} wait_ms={wait_ms}");
}
