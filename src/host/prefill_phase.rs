//! The prefill phase of an attempt.

use super::CompletionRequest;
use super::attempt_guard::{AttemptGuard, ServerLocation};
use super::completion_run::{AnswerState, AttemptEnd};
use super::host_state::HostState;
use crate::engines::{PrefillCall, PrefillReply};
use crate::keys::AttemptId;
use crate::peers::AttemptReport;
use crate::placement::WasteCause;
use std::sync::Arc;
use std::time::Duration;

/// Runs the prefill on its engine; fails if the engine takes longer than `limit`.
pub(super) async fn run_prefill(
    host: &Arc<HostState>,
    request: &CompletionRequest,
    answer: &mut AnswerState,
    guard: &mut AttemptGuard,
    attempt: AttemptId,
    server: ServerLocation,
    limit: Duration,
) -> Result<PrefillReply, AttemptEnd> {
    let started_at = host.now();
    let call = PrefillCall {
        attempt: attempt.to_string(),
        request: request.id.clone(),
        model: request.model.name.clone(),
        adapter: request.adapter.clone(),
        prompt: request.prompt.clone(),
        generated: answer.generated.iter().map(|text| text.as_str().to_owned()).collect(),
    };
    guard.begin_prefill(server);
    answer.reached_engine = true;
    let running = tokio::time::timeout(limit, host.engines.prefill(server.address, &call));
    let result = tokio::select! {
        result = running => result,
        () = answer.sink.closed() => return Err(AttemptEnd::CallerLeft),
    };
    let Ok(Ok(reply)) = result else {
        guard.end_prefill(AttemptReport::Failed);
        let spent = host.now().since(started_at);
        host.metrics().waste.record_wasted(WasteCause::PrefillFailed, spent);
        log::info!("event=prefill_failed attempt={attempt} server={}", server.address);
        return Err(AttemptEnd::Failed);
    };
    let took_micros = reply.took_micros;
    guard.end_prefill(AttemptReport::Prefilled { tokens: reply.computed_tokens, took_micros });
    host.metrics().waste.record_done(Duration::from_micros(took_micros));
    host.record_span(
        request.trace,
        "prefill",
        started_at,
        format!(
            "attempt={attempt} computed={} cached={}",
            reply.computed_tokens, reply.cached_tokens
        ),
    );
    Ok(reply)
}
