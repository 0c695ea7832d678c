//! Detects server crashes and the requests in flight at the time, and holds back requests that crash servers.

use super::call_context::CallContext;
use super::gateway_host::GatewayHost;
use super::run_marks::RunMarks;
use crate::Error;
use crate::fleet::ServerEntry;
use crate::keys::{PartKey, RequestKey, ServerKey};
use crate::quarantine::{ConnectionLoss, CrashEvidence, RequestVerdict, SETTLE_TIME};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// Delay before a server that dropped a connection is probed: a process that exits closes its sockets one after the
/// other.
const PROBE_DELAY: Duration = Duration::from_millis(30);
/// Timeout of the probe. A machine whose server process has exited refuses connections within a round trip.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// The shortest wait for the updates that settle the verdict on a request.
const MIN_WAIT: Duration = Duration::from_millis(20);

/// Events from which on a run has begun to write beyond doubt: a server may crash as the first one leaves it.
const EVENTS_TO_CLEAR: u64 = 2;

/// What the quarantine knows a request by.
#[derive(Debug, Clone, Copy)]
pub(super) struct QuarantineSubject<'a> {
    /// The request's id, for logs.
    pub id: &'a str,
    /// Its contents.
    pub request: RequestKey,
    /// The shared parts of its prompt.
    pub shared_parts: &'a [PartKey],
}

/// Why a request is held back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct HoldEvidence {
    /// The evidence against its contents.
    contents: CrashEvidence,
    /// Number of crashes that parts of its prompt explain.
    part_crashes: usize,
}

impl fmt::Display for HoldEvidence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} part_crashes={}", self.contents, self.part_crashes)
    }
}

/// Decision on a received request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestAdmission {
    /// The request is sent to a server.
    Admitted,
    /// The request was held back, and is sent to one server to check whether it still crashes servers.
    Trial(HoldEvidence),
    /// The request is refused.
    HeldBack(HoldEvidence),
}

impl CallContext {
    /// Records that the call to a server failed with `error`, other than a run. If the server dropped the connection during
    /// the call, it may have crashed because of this request.
    pub fn record_failure(&self, server: &ServerEntry, error: &Error) {
        self.record_run_failure(server, RunMarks::sent(self.sent_at()), error);
    }

    /// Records that a run at a server failed with `error`.
    pub fn record_run_failure(&self, server: &ServerEntry, marks: RunMarks, error: &Error) {
        if error.is_break_off() {
            let loss = ConnectionLoss {
                request: self.contents,
                sent_at: marks.sent_at,
                lost_at: self.host.now(),
                unwritten_parts: self.unwritten_parts(marks),
            };
            self.host.record_break_off(server, loss);
        }
    }

    /// Records that a run wrote an event.
    pub fn record_written_event(&self, marks: &mut RunMarks) {
        marks.written_events += 1;
        if marks.written_events == EVENTS_TO_CLEAR {
            self.record_written();
        }
    }

    /// Records that a run ended as a whole. An answer without events shows nothing.
    pub fn record_whole_run(&self, marks: RunMarks) {
        if marks.written_events > 0 {
            self.record_written();
        }
    }

    /// Records that a run has written on the parts of its prompt.
    fn record_written(&self) {
        let now = self.host.now();
        self.host.state().part_crashes.record_written(now, &self.head.shared_parts);
    }

    /// The shared parts of its prompt, if the run has not written on them.
    fn unwritten_parts(&self, marks: RunMarks) -> Arc<[PartKey]> {
        let has_written = marks.written_events >= EVENTS_TO_CLEAR;
        if has_written { Arc::default() } else { Arc::clone(&self.head.shared_parts) }
    }

    /// Records that a server answered this request completely.
    pub fn record_success(&self) {
        let now = self.host.now();
        self.host.state().crashes.record_served(now, self.contents);
    }

    /// Whether this request, sent to `sent` servers so far, must not be sent to another one because it crashes them.
    /// Checked before each send: other hosts may have reported crashes caused by a request in flight, and it waits
    /// until the verdict is settled.
    pub async fn is_held_back(&self, sent: u32) -> bool {
        let is_allowed = self.is_trial && sent == 0;
        !is_allowed && self.host.resolve_hold(self.subject(), self.time_left()).await
    }

    /// The same check without waiting for the verdict to settle, where a wait would cost the request what servers
    /// reserve for it, or delay its final answer.
    pub fn is_known_held_back(&self, sent: u32) -> bool {
        let is_allowed = self.is_trial && sent == 0;
        let parts = &self.head.shared_parts;
        let verdict = self.host.state().quarantine_verdict(self.contents, parts);
        !is_allowed && verdict == RequestVerdict::Held
    }

    fn subject(&self) -> QuarantineSubject<'_> {
        let (id, request) = (self.id(), self.contents);
        QuarantineSubject { id, request, shared_parts: &self.head.shared_parts }
    }
}

impl GatewayHost {
    /// Whether a request is held back. A request that seems to crash servers waits until it is known which other
    /// requests were in flight there. If that takes longer than its `time_left`, or servers keep
    /// crashing meanwhile, the request is sent.
    async fn resolve_hold(&self, subject: QuarantineSubject<'_>, time_left: Duration) -> bool {
        let QuarantineSubject { id, request, shared_parts } = subject;
        let max_wait = time_left.min(SETTLE_TIME);
        let (began, mut waited) = (self.now(), Duration::ZERO);
        loop {
            let verdict = self.state().quarantine_verdict(request, shared_parts);
            match verdict {
                RequestVerdict::Held => return true,
                RequestVerdict::Unsettled { wait } if waited < max_wait => {
                    if waited.is_zero() {
                        log_wait(id, request, wait);
                    }
                    tokio::time::sleep(wait.max(MIN_WAIT).min(max_wait - waited)).await;
                    waited = self.now().since(began);
                }
                RequestVerdict::Free | RequestVerdict::Unsettled { .. } => return false,
            }
        }
    }

    /// Decides whether a received request is sent to a server.
    pub(super) async fn admit(
        &self,
        subject: QuarantineSubject<'_>,
        time_left: Duration,
    ) -> RequestAdmission {
        let QuarantineSubject { request, shared_parts, .. } = subject;
        if !self.resolve_hold(subject, time_left).await {
            return RequestAdmission::Admitted;
        }
        let now = self.now();
        let is_leader = self.is_elected_leader();
        let mut state = self.state();
        let evidence = HoldEvidence {
            contents: state.crashes.evidence(request),
            part_crashes: state.part_crashes.explained_crashes(shared_parts),
        };
        let is_held_by_parts = state.part_crashes.verdict(shared_parts) != RequestVerdict::Free;
        let is_tried = is_leader
            && if is_held_by_parts {
                state.part_crashes.take_trial(now, shared_parts)
            } else {
                state.crashes.take_trial(now, request)
            };
        if is_tried {
            return RequestAdmission::Trial(evidence);
        }
        state.crashes.record_return(now, request);
        RequestAdmission::HeldBack(evidence)
    }

    fn record_break_off(self: &Arc<Self>, server: &ServerEntry, loss: ConnectionLoss) {
        let key = server.key();
        let is_first = {
            let mut state = self.state();
            if state.crashes.has_crashed(key) {
                drop(state);
                self.record_crash(key, &server.id, &[loss], "known");
                return;
            }
            // A server that is draining may exit while a request is still in flight there.
            state.fleet.is_ready(key) && state.unconfirmed_crashes.record_loss(key, loss)
        };
        if is_first {
            let (host, server) = (Arc::clone(self), server.clone());
            tokio::spawn(async move { host.probe_server(&server).await });
        }
    }

    /// Probes whether a server that dropped a connection still accepts connections, also from another host if it refuses
    /// those of this one. If it does, either a single
    /// connection failed, or a proxy accepts connections on behalf of a crashed server; in the second case a later
    /// change of its entry shows the crash.
    async fn probe_server(&self, server: &ServerEntry) {
        tokio::time::sleep(PROBE_DELAY).await;
        let dialed = self.dial_server(server.address, PROBE_TIMEOUT).await;
        let outcome = match dialed.map(|connection| self.pool.keep(server.address, connection)) {
            Err(error) if error.is_refused_connection() => {
                let losses = self.state().unconfirmed_crashes.confirm(server.key());
                self.record_crash(server.key(), &server.id, &losses, "connection_refused");
                return;
            }
            Ok(()) => "reached".to_owned(),
            Err(error) => error.to_string(),
        };
        self.state().unconfirmed_crashes.record_probed(server.key());
        log::info!("event=server_asked server={} outcome=\"{outcome}\"", server.id);
    }

    /// Records the crashes of suspected servers whose entries are gone or name another incarnation.
    pub(super) fn resolve_break_offs(&self) {
        let now = self.now();
        let crashed = {
            let mut state = self.state();
            let state = &mut *state;
            let fleet = &state.fleet;
            state.unconfirmed_crashes.settle(now, |key| fleet.entry(key).is_none())
        };
        for (server, losses) in crashed {
            self.record_crash(server, "-", &losses, "entry_gone");
        }
    }

    fn record_crash(&self, server: ServerKey, id: &str, losses: &[ConnectionLoss], sign: &str) {
        let now = self.now();
        for loss in losses {
            let (is_new, evidence) = {
                let mut state = self.state();
                let is_new = state.crashes.record_loss(now, server, loss)
                    | state.part_crashes.record_loss(now, server, loss);
                (is_new, state.crashes.evidence(loss.request))
            };
            if !is_new {
                continue;
            }
            self.metrics().add("crashes_noted", 1);
            let (life, request) = (server.0, loss.request);
            let ran_ms = loss.lost_at.since(loss.sent_at).as_millis();
            log::info!(
                "event=server_crashed server={id} life={life:016x} contents={request} sign={sign} \
                 ran_ms={ran_ms} unwritten_parts={} {evidence} held_back={}",
                list_parts(&loss.unwritten_parts),
                evidence.is_enough()
            );
        }
    }
}

/// Lists parts for a log line.
fn list_parts(parts: &[PartKey]) -> String {
    let names: Vec<String> = parts.iter().map(|part| format!("{:016x}", part.0)).collect();
    if names.is_empty() { "none".to_owned() } else { names.join(",") }
}

fn log_wait(id: &str, request: RequestKey, wait: Duration) {
    let wait_ms = wait.as_millis();
    log::info!("event=crash_news_awaited request={id} contents={request} wait_ms={wait_ms}");
}
