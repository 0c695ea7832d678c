//! The part of an attempt from the finished prefill to the end of the answer.

use super::attempt_guard::{AttemptGuard, UsedServer};
use super::completion_run::{AnswerState, AttemptEnd};
use super::handoff::move_handoff;
use super::host_state::{HostState, lock};
use super::{AnswerPart, CompletionAsk};
use crate::engines::{DecodeCall, LineStream, ResumeCall, StreamEvent};
use crate::keys::{AttemptId, TimePoint};
use crate::placement::WasteCause;
use crate::streams::TokenVerdict;
use std::sync::Arc;
use std::time::Duration;

const SHORTEST_STALL: Duration = Duration::from_millis(500);
const STALL_STEPS: u32 = 8;
/// A transfer may take this long beyond the life of the prefill result.
const IMPORT_LIMIT: Duration = Duration::from_millis(1500);
const RESUMES: u32 = 2;

/// What the decode leg needs to know of its prefill.
#[derive(Debug, Clone, Copy)]
pub(super) struct PrefillResult {
    pub source: std::net::SocketAddr,
    pub handle: u64,
    pub work: Duration,
    pub kv_bytes: u64,
    /// When a transfer that has not arrived is moved elsewhere, if it may be.
    pub move_after: Option<Duration>,
}

/// Streams the answer of one attempt to the caller.
pub(super) async fn run_decode(
    host: &Arc<HostState>,
    ask: &CompletionAsk,
    answer: &mut AnswerState,
    guard: &mut AttemptGuard,
    attempt: AttemptId,
    server: UsedServer,
    result: PrefillResult,
) -> AttemptEnd {
    let began = host.now();
    answer.ledger.switch_to(attempt);
    let call = DecodeCall {
        attempt: attempt.to_string(),
        request: ask.request.clone(),
        source: result.source,
        handle: result.handle,
        next_index: answer.ledger.next_index(),
        max_tokens: ask.max_tokens,
    };
    guard.begin_decode();
    let opening = tokio::time::timeout(IMPORT_LIMIT, host.engines.decode(server.address, &call));
    let opened = tokio::select! {
        opened = opening => opened,
        () = answer.sink.closed() => return caller_left(host, answer, result),
    };
    let mut lines = match opened {
        Ok(Ok(lines)) => lines,
        _ => return fail(host, guard, answer, result, WasteCause::DecodeFailed),
    };
    let mut stall = result.move_after.unwrap_or(IMPORT_LIMIT);
    let mut importing = result.move_after.is_some();
    let mut resumes = 0;
    loop {
        let event = tokio::select! {
            event = tokio::time::timeout(stall, lines.next()) => event,
            () = answer.sink.closed() => return caller_left(host, answer, result),
        };
        match event {
            Ok(Ok(Some(StreamEvent::Imported))) => {
                importing = false;
                guard.note_decoding(ask.max_tokens);
                host.note_span(ask.trace, "import", began, format!("attempt={attempt}"));
                stall = SHORTEST_STALL
                    .max(Duration::from_millis(ask.class.between_tokens_ms) * STALL_STEPS);
            }
            Ok(Ok(Some(StreamEvent::Token { index, text }))) => {
                match answer.ledger.admit(attempt, index) {
                    TokenVerdict::Write => answer.write_token(host, ask, text),
                    TokenVerdict::Duplicate | TokenVerdict::Stale => {}
                    TokenVerdict::Gap => {
                        return fail(host, guard, answer, result, WasteCause::DecodeFailed);
                    }
                }
            }
            Ok(Ok(Some(StreamEvent::Done { total, finish }))) => {
                if !answer.ledger.finish(attempt, total) {
                    return fail(host, guard, answer, result, WasteCause::DecodeFailed);
                }
                guard.end_decode(total);
                host.note_span(
                    ask.trace,
                    "decode",
                    began,
                    format!("attempt={attempt} tokens={total}"),
                );
                answer.send(AnswerPart::Done(finish));
                return AttemptEnd::Whole;
            }
            Ok(Ok(Some(StreamEvent::Failed { reason }))) => {
                guard.end_decode(answer.ledger.next_index());
                let cause = if reason == "expired" {
                    WasteCause::Expired
                } else {
                    WasteCause::DecodeFailed
                };
                return fail(host, guard, answer, result, cause);
            }
            Err(_) if importing => {
                importing = false;
                stall = IMPORT_LIMIT;
                if let Some(moved) = move_handoff(host, ask, server, result.kv_bytes).await {
                    guard.fail_decode();
                    return AttemptEnd::Moved(moved);
                }
            }
            // The connection broke: the engine may still hold the attempt and go on.
            Ok(Ok(None) | Err(_)) if resumes < RESUMES => {
                resumes += 1;
                match resume(host, attempt, server, answer).await {
                    Some(resumed) => lines = resumed,
                    None => return fail(host, guard, answer, result, WasteCause::DecodeFailed),
                }
            }
            Ok(_) | Err(_) => return fail(host, guard, answer, result, WasteCause::DecodeFailed),
        }
    }
}

async fn resume(
    host: &Arc<HostState>,
    attempt: AttemptId,
    server: UsedServer,
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
    /// Writes the next token and measures the first one and the gaps.
    fn write_token(&mut self, host: &HostState, ask: &CompletionAsk, text: String) {
        let now = host.now();
        let (metric, since): (_, TimePoint) = match self.last_token {
            None => ("first_token_seconds", self.arrived),
            Some(last) => ("between_tokens_seconds", last),
        };
        let took = now.since(since);
        host.metrics().record_duration(metric, &ask.class.name, &ask.organisation, took);
        if self.last_token.is_none() {
            host.note_span(ask.trace, "first_token", self.arrived, String::new());
            if took > ask.first_token {
                log::info!(
                    "event=first_token_late request={} trace={:032x} took_ms={}",
                    ask.request,
                    ask.trace.trace,
                    took.as_millis()
                );
            }
        }
        self.last_token = Some(now);
        self.generated.push(text.clone());
        self.send(AnswerPart::Token(text));
    }

    /// Sends a part to the caller; a caller who left is noticed by the next wait.
    pub(super) fn send(&self, part: AnswerPart) {
        let _ = self.sink.send(part);
    }
}

/// Retries of a whole request are paid from the host's budget.
pub(super) fn take_retry(host: &HostState) -> bool {
    lock(&host.retries).try_spend()
}
