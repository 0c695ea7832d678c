//! The decode phase of an attempt, from the finished prefill to the end of the answer.

use super::attempt_guard::{AttemptGuard, ServerLocation};
use super::completion_run::{AnswerState, AttemptEnd};
use super::handoff::move_handoff;
use super::host_state::{HostState, lock};
use super::{AnswerPart, CompletionRequest};
use crate::engines::{DecodeCall, LineStream, ResumeCall, StreamEvent};
use crate::keys::{AttemptId, TimePoint};
use crate::placement::WasteCause;
use crate::streams::TokenVerdict;
use crate::{Error, Result};
use std::sync::Arc;
use std::time::Duration;

const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(500);
const STALL_STEPS: u32 = 8;
/// Timeout of opening a decode stream and of its transfer; a transfer may outlast the lifetime of
/// the prefill result by this much.
const IMPORT_TIMEOUT: Duration = Duration::from_millis(1500);
const MAX_RESUMES: u32 = 2;

/// Result of the prefill phase that the decode phase needs.
#[derive(Debug, Clone, Copy)]
pub(super) struct PrefillResult {
    pub source: std::net::SocketAddr,
    pub handle: u64,
    pub work: Duration,
    pub kv_bytes: u64,
    /// Time after which a stalled transfer is rerouted to another server; never if `None`.
    pub move_after: Option<Duration>,
}

/// Streams the answer of one attempt to the caller.
pub(super) async fn run_decode(
    host: &Arc<HostState>,
    request: &CompletionRequest,
    answer: &mut AnswerState,
    guard: &mut AttemptGuard,
    attempt: AttemptId,
    server: ServerLocation,
    result: PrefillResult,
) -> AttemptEnd {
    let started_at = host.now();
    answer.ledger.switch_to(attempt);
    let call = DecodeCall {
        attempt: attempt.to_string(),
        request: request.id.clone(),
        source: result.source,
        handle: result.handle,
        next_index: answer.ledger.next_index(),
        max_tokens: request.max_tokens,
    };
    guard.begin_decode();
    let opening = tokio::time::timeout(IMPORT_TIMEOUT, host.engines.decode(server.address, &call));
    let opened = tokio::select! {
        opened = opening => opened,
        () = answer.sink.closed() => return caller_left(host, answer, result),
    };
    let mut lines = match opened {
        Ok(Ok(lines)) => lines,
        _ => return fail(host, guard, answer, result, WasteCause::DecodeFailed),
    };
    let mut stall = result.move_after.unwrap_or(IMPORT_TIMEOUT);
    let mut importing = result.move_after.is_some();
    let mut has_begun = false;
    let mut resumes = 0;
    let mut progress_at = host.now();
    loop {
        let event = tokio::select! {
            event = next_event(host, &mut lines, progress_at + stall) => event,
            () = answer.sink.closed() => return caller_left(host, answer, result),
        };
        match event {
            Ok(Some(StreamEvent::Imported)) if has_begun => {}
            Ok(Some(StreamEvent::Imported)) => {
                (has_begun, importing, progress_at) = (true, false, host.now());
                guard.record_decoding(request.max_tokens);
                host.record_span(request.trace, "import", started_at, format!("attempt={attempt}"));
                stall = MIN_STALL_TIMEOUT
                    .max(Duration::from_millis(request.class.between_tokens_ms) * STALL_STEPS);
            }
            // An engine that goes on after the last token that was asked for may never end.
            Ok(Some(StreamEvent::Token { index, .. })) if index >= request.max_tokens => {
                return fail(host, guard, answer, result, WasteCause::DecodeFailed);
            }
            Ok(Some(StreamEvent::Token { index, text })) => {
                match answer.ledger.admit(attempt, index) {
                    TokenVerdict::Write => {
                        if let Err(error) = answer.write_token(host, request, text) {
                            log::warn!(
                                "event=answer_too_long request={} cause=\"{error}\"",
                                request.id
                            );
                            return fail(host, guard, answer, result, WasteCause::DecodeFailed);
                        }
                        progress_at = host.now();
                    }
                    TokenVerdict::Duplicate | TokenVerdict::Stale => {}
                    TokenVerdict::Gap => {
                        return fail(host, guard, answer, result, WasteCause::DecodeFailed);
                    }
                }
            }
            Ok(Some(StreamEvent::Done { total, finish })) => {
                if !answer.ledger.finish(attempt, total) {
                    return fail(host, guard, answer, result, WasteCause::DecodeFailed);
                }
                guard.end_decode(total);
                host.record_span(
                    request.trace,
                    "decode",
                    started_at,
                    format!("attempt={attempt} tokens={total}"),
                );
                answer.send(AnswerPart::Done(finish));
                return AttemptEnd::Whole;
            }
            Ok(Some(StreamEvent::Failed { reason })) => {
                guard.end_decode(answer.ledger.next_index());
                let cause = if reason == "expired" {
                    WasteCause::Expired
                } else {
                    WasteCause::DecodeFailed
                };
                return fail(host, guard, answer, result, cause);
            }
            Err(Error::Timeout) if importing => {
                (importing, progress_at) = (false, host.now());
                stall = IMPORT_TIMEOUT;
                if let Some(moved) = move_handoff(host, request, server, result.kv_bytes).await {
                    guard.fail_decode();
                    return AttemptEnd::Moved(moved);
                }
            }
            Err(Error::Timeout | Error::TooLong { .. }) => {
                return fail(host, guard, answer, result, WasteCause::DecodeFailed);
            }
            // The connection broke, but the engine may still run the attempt: resume the stream.
            Ok(None) | Err(_) if resumes < MAX_RESUMES => {
                resumes += 1;
                match resume(host, attempt, server, answer).await {
                    Some(resumed) => (lines, progress_at) = (resumed, host.now()),
                    None => return fail(host, guard, answer, result, WasteCause::DecodeFailed),
                }
            }
            Ok(None) | Err(_) => {
                return fail(host, guard, answer, result, WasteCause::DecodeFailed);
            }
        }
    }
}

/// The next event of a stream that is given up at `until` unless it makes progress, whatever else arrives.
async fn next_event(
    host: &HostState,
    lines: &mut LineStream,
    until: TimePoint,
) -> Result<Option<StreamEvent>> {
    let left = until.since(host.now());
    if left.is_zero() {
        return Err(Error::Timeout);
    }
    tokio::time::timeout(left, lines.next()).await.map_err(|_elapsed| Error::Timeout)?
}

/// Asks the engine to resume the attempt's stream from the next token.
async fn resume(
    host: &Arc<HostState>,
    attempt: AttemptId,
    server: ServerLocation,
    answer: &AnswerState,
) -> Option<LineStream> {
    let next_index = answer.ledger.next_index();
    let call = ResumeCall { attempt: attempt.to_string(), next_index };
    let resumed = host.engines.resume(server.address, &call).await.ok();
    host.metrics().add(if resumed.is_some() { "resumes" } else { "resumes_refused" }, 1);
    resumed
}

fn caller_left(host: &HostState, answer: &AnswerState, result: PrefillResult) -> AttemptEnd {
    if answer.ledger.next_index() == 0 {
        host.metrics().waste.record_wasted(WasteCause::Cancelled, result.work);
    }
    AttemptEnd::CallerLeft
}

fn fail(
    host: &HostState,
    guard: &mut AttemptGuard,
    answer: &AnswerState,
    result: PrefillResult,
    cause: WasteCause,
) -> AttemptEnd {
    host.metrics().waste.record_wasted(cause, result.work);
    log::info!(
        "event=decode_failed cause={} next_index={}",
        cause.name(),
        answer.ledger.next_index()
    );
    guard.fail_decode();
    AttemptEnd::Failed
}

impl AnswerState {
    /// Sends the next token to the caller and records its latency.
    ///
    /// # Errors
    /// If the host cannot hold the answer.
    fn write_token(
        &mut self,
        host: &HostState,
        request: &CompletionRequest,
        text: String,
    ) -> Result<()> {
        let text = self.bytes.admit(text)?;
        let now = host.now();
        let (metric, since): (_, TimePoint) = match self.last_token {
            None => ("first_token_seconds", self.arrived_at),
            Some(last) => ("between_tokens_seconds", last),
        };
        let took = now.since(since);
        host.metrics().record_duration(metric, &request.class.name, &request.organisation, took);
        if self.last_token.is_none() {
            host.record_span(request.trace, "first_token", self.arrived_at, String::new());
            if took > request.first_token {
                log::info!(
                    "event=first_token_late request={} trace={:032x} took_ms={}",
                    request.id,
                    request.trace.trace,
                    took.as_millis()
                );
            }
        }
        self.last_token = Some(now);
        self.generated.push(text.clone());
        self.send(AnswerPart::Token(text));
        Ok(())
    }

    /// Sends a part to the caller. A closed channel is ignored here; the next wait detects it.
    pub(super) fn send(&self, part: AnswerPart) {
        let _ = self.sink.send(part);
    }
}

/// Charges the retry of a whole request to the host's retry budget, if it allows one.
pub(super) fn try_spend_retry(host: &HostState) -> bool {
    lock(&host.retry_budget).try_spend()
}
