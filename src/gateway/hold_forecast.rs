//! Forecasts the tokens that a hold at a decode server must name.

use super::call_context::CallContext;
use super::decode_reservation::needed_tokens;
use crate::keys::NameKey;
use crate::memory_forecast::AnswerSize;
use crate::platform::TokenCounts;
use crate::routes::EngineSpec;

/// Tokens that a hold must name for a run that continues after the event `after`: the forecast if the feature is on,
/// the caller's estimate otherwise.
pub(super) fn hold_tokens(context: &CallContext, engine: &EngineSpec, after: Option<u64>) -> u32 {
    let estimated = needed_tokens(context, engine, after);
    if !context.host.settings.features.memory_forecast {
        return estimated;
    }
    let tokens = &context.head.tokens;
    let reached = generated_tokens(engine, after);
    let route = NameKey::of(&context.route.name);
    let length =
        context.host.state().output_forecast.hold_length(route, answer_size(tokens), reached);
    let forecast = tokens.prompt.saturating_add(length).saturating_add(1).min(engine.memory_tokens);
    let mut metrics = context.host.metrics();
    metrics.add("forecast_hold_tokens", forecast.into());
    metrics.add("estimated_hold_tokens", estimated.into());
    forecast
}

/// What the caller states about the length of its answer.
pub(super) fn answer_size(tokens: &TokenCounts) -> AnswerSize {
    AnswerSize { estimate: tokens.output_hint, max: tokens.max_output }
}

/// Tokens that were generated up to the event `after`.
pub(super) fn generated_tokens(engine: &EngineSpec, after: Option<u64>) -> u32 {
    after.map_or(0, |event| {
        u32::try_from(event + 1).unwrap_or(u32::MAX).saturating_mul(engine.tokens_per_event)
    })
}
