//! What the host logs and records of the streams that it relays.

use super::call_context::CallContext;
use super::decode_reservation::expected_output;
use super::hold_forecast::{answer_size, generated_tokens};
use super::relay_record::RelayRecord;
use super::run_open::RetryDenial;
use super::run_start::RunRecord;
use super::stream_end::StreamEnd;
use crate::keys::{NameKey, ServerKey};
use crate::placement::PaceTimer;
use crate::routes::EngineSpec;

/// Why a run was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LossCause {
    /// Its connection broke, or ended within an event.
    Broken,
    /// Bytes arrived that belong to no event of the stream.
    Stray,
    /// An event is missing.
    Gap,
}

impl LossCause {
    const fn name(self) -> &'static str {
        match self {
            Self::Broken => "broken",
            Self::Stray => "stray",
            Self::Gap => "gap",
        }
    }
}

/// Logs that a server broke off a run that had begun, and the request that it was running.
pub(super) fn log_lost(
    context: &CallContext,
    server: &str,
    record: &RelayRecord,
    cause: LossCause,
) {
    let (id, contents, events) = (context.id(), context.contents, record.events);
    let (cause, now) = (cause.name(), context.host.now());
    let quiet = record.relayed_at.map(|at| now.since(at)).unwrap_or_default().as_millis();
    log::info!(
        "event=run_lost request={id} contents={contents} server={server} events={events} \
         cause={cause} quiet_ms={quiet}"
    );
}

/// Logs why no further run of a stream is opened.
pub(super) fn log_denied(context: &CallContext, denial: RetryDenial, runs: &RunRecord) {
    log::info!(
        "event=further_run_denied request={} cause={} sent={} allowed={}",
        context.id(),
        denial.name(),
        runs.sent,
        context.route.max_servers
    );
}

/// Reports to the work meter how much work the stream is expected to take.
pub(super) fn record_stream(context: &CallContext) {
    let tokens = &context.head.tokens;
    let (now, output) = (context.host.now(), expected_output(tokens));
    let mut state = context.host.state();
    state.work_meters.entry(context.service).or_default().record_stream(now, tokens.prompt, output);
}

/// Reports the length of a whole answer to the forecast. An answer that was cut is not reported: its length is unknown.
pub(super) fn record_length(context: &CallContext, engine: &EngineSpec, last: Option<u64>) {
    if !context.host.settings.features.memory_forecast {
        return;
    }
    let (now, route) = (context.host.now(), NameKey::of(&context.route.name));
    let size = answer_size(&context.head.tokens);
    let length = generated_tokens(engine, last);
    context.host.state().output_forecast.record(now, route, size, length);
}

/// Reports the pace of a run to the work meter and the pace table, once a group of its events has arrived.
pub(super) fn record_pace(
    context: &CallContext,
    engine: &EngineSpec,
    server: ServerKey,
    timer: &mut PaceTimer,
) {
    let now = context.host.now();
    let Some((events, took)) = timer.record_event(now) else { return };
    let tokens = events.saturating_mul(engine.tokens_per_event);
    let mut state = context.host.state();
    state.work_meters.entry(context.service).or_default().record_pace(tokens, took);
    if context.host.settings.features.memory_forecast && state.fleet.entry(server).is_some() {
        let group = (events, engine.tokens_per_event);
        state.paces.record(now, (context.service, server), group, took);
    }
}

pub(super) fn log_stream(
    context: &CallContext,
    server: &str,
    end: StreamEnd,
    record: &RelayRecord,
) {
    let first = record.first_after.unwrap_or_default();
    let route = &context.route.name;
    log::info!(
        "event=stream_ended request={} route={route} server={server} outcome={} events={} \
         first_ms={} took_ms={} objective_ms={} pause_ms={} pause_limit_ms={}",
        context.id(),
        end.name(),
        record.events,
        first.as_millis(),
        context.age().as_millis(),
        context.route.objective.as_millis(),
        record.longest_pause.as_millis(),
        context.route.pause_objective.as_millis()
    );
    let mut metrics = context.host.metrics();
    metrics.add(end.name(), 1);
    metrics.record_duration("first_event_seconds", route, "all", first);
}
