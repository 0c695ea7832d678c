//! The part of an attempt on its prefill engine.

use super::CompletionAsk;
use super::attempt_guard::{AttemptGuard, UsedServer};
use super::completion_run::{AnswerState, AttemptEnd};
use super::host_state::HostState;
use crate::engines::{PrefillCall, PrefillReply};
use crate::keys::AttemptId;
use crate::peers::StopReport;
use crate::placement::WasteCause;
use std::sync::Arc;
use std::time::Duration;

/// Runs the prefill on its engine.
pub(super) async fn run_prefill(
    host: &Arc<HostState>,
    ask: &CompletionAsk,
    answer: &mut AnswerState,
    guard: &mut AttemptGuard,
    attempt: AttemptId,
    server: UsedServer,
    limit: Duration,
) -> Result<PrefillReply, AttemptEnd> {
    let began = host.now();
    let call = PrefillCall {
        attempt: attempt.to_string(),
        request: ask.request.clone(),
        model: ask.model.name.clone(),
        adapter: ask.adapter.clone(),
        prompt: ask.prompt.clone(),
        generated: answer.generated.clone(),
    };
    guard.begin_prefill(server);
    answer.ran = true;
    let running = tokio::time::timeout(limit, host.engines.prefill(server.address, &call));
    let result = tokio::select! {
        result = running => result,
        () = answer.sink.closed() => return Err(AttemptEnd::CallerLeft),
    };
    let Ok(Ok(done)) = result else {
        guard.end_prefill(StopReport::Failed);
        let spent = host.now().since(began);
        host.metrics().waste.record_wasted(WasteCause::PrefillFailed, spent);
        log::info!("event=prefill_failed attempt={attempt} server={}", server.address);
        return Err(AttemptEnd::Failed);
    };
    let took_micros = done.took_micros;
    guard.end_prefill(StopReport::Prefilled { tokens: done.computed_tokens, took_micros });
    host.metrics().waste.record_done(Duration::from_micros(took_micros));
    host.note_span(
        ask.trace,
        "prefill",
        began,
        format!(
            "attempt={attempt} computed={} cached={}",
            done.computed_tokens, done.cached_tokens
        ),
    );
    Ok(done)
}
