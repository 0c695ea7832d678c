use super::call_context::CallContext;
use super::call_end::{CallEnd, NotRunReason};
use super::caller_body::StreamPart;
use super::decode_reservation::expected_output;
use super::hold_forecast::{answer_size, generated_tokens};
use super::in_flight_guard::InFlightGuard;
use super::relay_record::RelayRecord;
use super::run_open::{OpenRun, RetryDenial, may_retry_run, open_stream};
use super::run_start::RunRecord;
use super::stream_end::StreamEnd;
use crate::Result;
use crate::keys::{NameKey, ServerKey};
use crate::placement::{PaceTimer, ServerEvent};
use crate::routes::EngineSpec;
use crate::stream_origins::RunVersion;
use crate::streams::ServerSentEvent;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::Sender;

/// A resumable stream that is silent for this long is resumed on another server; callers give up
/// after about twice that time.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1500);

/// How long opening a new run for a lost stream is retried; callers give up after a gap of two seconds and more.
const RESUME_TIMEOUT: Duration = Duration::from_millis(1500);
/// Pause between these retries.
const RESUME_RETRY_PAUSE: Duration = Duration::from_millis(60);
/// Time for relayed events to be written to the caller's connection before a stream is cut.
const CUT_DELAY: Duration = Duration::from_millis(10);

/// How one run of a stream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RunEnd {
    Stream(StreamEnd),
    /// The server broke the run off or fell silent.
    ServerLost(LossCause),
}

/// Why a run was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LossCause {
    /// No event arrived within the silence timeout; its connection still stood.
    Silent,
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
            Self::Silent => "silent",
            Self::Broken => "broken",
            Self::Stray => "stray",
            Self::Gap => "gap",
        }
    }

    /// The cause of a loss after which reading an event ended with `error`.
    const fn of(error: &crate::Error) -> Self {
        match error {
            crate::Error::Timeout => Self::Silent,
            _ => Self::Broken,
        }
    }
}

/// Relays a stream to its caller, over as many runs as the route allows.
pub(super) async fn relay_events(
    context: Arc<CallContext>,
    engine: EngineSpec,
    run: OpenRun,
    runs: RunRecord,
    events: Sender<StreamPart>,
    guard: InFlightGuard,
) {
    let mut record = RelayRecord { last: context.head.last_event, ..RelayRecord::default() };
    let server = run.server.id.clone();
    record_stream(&context);
    let end = relay_runs(&context, &engine, run, runs, &events, &mut record).await;
    if end == StreamEnd::Whole {
        record_length(&context, &engine, record.last);
    }
    match end {
        // Sending fails only if the caller has just left.
        StreamEnd::Whole => drop(events.send(StreamPart::End).await),
        StreamEnd::CallerLeft => {}
        // The HTTP library drops what it has not written when a body fails.
        StreamEnd::TimedOut | StreamEnd::Broken => tokio::time::sleep(CUT_DELAY).await,
    }
    drop(events);
    log_stream(&context, &server, end, &record);
    drop(guard);
}

async fn relay_runs(
    context: &CallContext,
    engine: &EngineSpec,
    run: OpenRun,
    mut runs: RunRecord,
    events: &Sender<StreamPart>,
    record: &mut RelayRecord,
) -> StreamEnd {
    let mut run = run;
    // The stream goes on only at the version that began it.
    runs.version = RunVersion::Only(run.server.version_key());
    loop {
        let server = run.server.clone();
        match relay_run(context, engine, run, events, record).await {
            RunEnd::Stream(end) => return end,
            RunEnd::ServerLost(cause) => {
                log_lost(context, &server.id, record, cause);
                context.host.record_server_event(&server, ServerEvent::Unresponsive);
                runs.record_lost(server.key());
            }
        }
        if let Err(denial) = may_retry_run(context, &runs).await {
            log_denied(context, denial, &runs);
            return StreamEnd::Broken;
        }
        let (id, after) = (context.id(), record.last.unwrap_or_default());
        log::info!(
            "event=stream_resumed request={id} lost={} version={:?} after={after}",
            server.id,
            server.version
        );
        let opening = resume_run(context, engine, record.last, &mut runs);
        let opened = tokio::select! {
            opened = opening => opened,
            () = events.closed() => return StreamEnd::CallerLeft,
        };
        match opened {
            Ok(next) => run = next,
            Err(end) => {
                let (id, outcome, cause) = (context.id(), end.name(), end.cause());
                log::info!("event=further_run_failed request={id} outcome={outcome} cause={cause}");
                return StreamEnd::Broken;
            }
        }
    }
}

/// Logs that a server broke off a run that had begun, or fell silent, and the request that it was running.
fn log_lost(context: &CallContext, server: &str, record: &RelayRecord, cause: LossCause) {
    let (id, contents, events) = (context.id(), context.contents, record.events);
    let (cause, now) = (cause.name(), context.host.now());
    let quiet = record.relayed_at.map(|at| now.since(at)).unwrap_or_default().as_millis();
    log::info!(
        "event=run_lost request={id} contents={contents} server={server} events={events} \
         cause={cause} quiet_ms={quiet}"
    );
}

/// Logs why no further run of a stream is opened.
fn log_denied(context: &CallContext, denial: RetryDenial, runs: &RunRecord) {
    log::info!(
        "event=further_run_denied request={} cause={} sent={} allowed={}",
        context.id(),
        denial.name(),
        runs.sent,
        context.route.max_servers
    );
}

/// Opens a further run. A refusal is retried until [`RESUME_TIMEOUT`] or the deadline has passed, unless the request is
/// held back.
async fn resume_run(
    context: &CallContext,
    engine: &EngineSpec,
    after: Option<u64>,
    runs: &mut RunRecord,
) -> std::result::Result<OpenRun, CallEnd> {
    let started_at = context.host.now();
    loop {
        let opened = open_stream(context, engine, after, runs).await;
        let refused = matches!(
            opened,
            Err(CallEnd::NotRun(reason, _)) if reason != NotRunReason::HeldBack
        );
        let waited = context.host.now().since(started_at);
        if !refused || waited > RESUME_TIMEOUT || context.time_left().is_zero() {
            return opened;
        }
        tokio::time::sleep(RESUME_RETRY_PAUSE).await;
    }
}

async fn relay_run(
    context: &CallContext,
    engine: &EngineSpec,
    run: OpenRun,
    events: &Sender<StreamPart>,
    record: &mut RelayRecord,
) -> RunEnd {
    let OpenRun { server, mut reader, first, mut load, .. } = run;
    let deadline = context.host.instant(context.deadline);
    let mut next = Ok(first);
    let mut timer = PaceTimer::new(context.host.now());
    loop {
        let event = match next {
            Ok(Some(event)) => event,
            Ok(None) => {
                context.record_success();
                context.record_whole_run();
                return RunEnd::Stream(StreamEnd::Whole);
            }
            Err(error) => {
                context.record_failure(&server, &error);
                return RunEnd::ServerLost(LossCause::of(&error));
            }
        };
        context.record_written_event();
        load.grow(engine.tokens_per_event);
        if let Some(end) = relay_event(context, event, events, record).await {
            return end;
        }
        next = tokio::select! {
            next = next_event(context, &mut reader) => next,
            () = events.closed() => return RunEnd::Stream(StreamEnd::CallerLeft),
            () = tokio::time::sleep_until(deadline) => return RunEnd::Stream(StreamEnd::TimedOut),
        };
        if matches!(next, Ok(Some(_))) {
            record_pace(context, engine, server.key(), &mut timer);
        }
    }
}

/// Waits for the next event; a resumable stream waits no longer than the silence timeout.
async fn next_event(
    context: &CallContext,
    reader: &mut super::event_reader::EventReader,
) -> Result<Option<ServerSentEvent>> {
    if !context.route.is_retryable() {
        return reader.next().await;
    }
    let next = tokio::time::timeout(SILENCE_TIMEOUT, reader.next()).await;
    next.map_err(|_elapsed| crate::Error::Timeout)?
}

/// Relays an event if it is the next one; an event that the caller already has is dropped. An event without a number
/// does not belong to the stream: the head of a second answer, after one without a length, parses as such an event.
async fn relay_event(
    context: &CallContext,
    event: ServerSentEvent,
    events: &Sender<StreamPart>,
    record: &mut RelayRecord,
) -> Option<RunEnd> {
    let Some(number) = event.number else {
        log::warn!("event=stream_stray request={} bytes={}", context.id(), event.bytes.len());
        return Some(RunEnd::ServerLost(LossCause::Stray));
    };
    if let Some(last) = record.last {
        if number <= last {
            return None;
        }
        if number > last + 1 {
            log::warn!(
                "event=stream_gap request={} expected={} got={number}",
                context.id(),
                last + 1
            );
            return Some(RunEnd::ServerLost(LossCause::Gap));
        }
    }
    record.last = Some(number);
    record.record_event(context.host.now(), context.age());
    match events.send(StreamPart::Event(event.bytes)).await {
        Ok(()) => None,
        Err(_) => Some(RunEnd::Stream(StreamEnd::CallerLeft)),
    }
}

/// Reports to the work meter how much work the stream is expected to take.
fn record_stream(context: &CallContext) {
    let tokens = &context.head.tokens;
    let (now, output) = (context.host.now(), expected_output(tokens));
    let mut state = context.host.state();
    state.work_meters.entry(context.service).or_default().record_stream(now, tokens.prompt, output);
}

/// Reports the length of a whole answer to the forecast. An answer that was cut is not reported: its length is unknown.
fn record_length(context: &CallContext, engine: &EngineSpec, last: Option<u64>) {
    if !context.host.settings.features.memory_forecast {
        return;
    }
    let (now, route) = (context.host.now(), NameKey::of(&context.route.name));
    let size = answer_size(&context.head.tokens);
    let length = generated_tokens(engine, last);
    context.host.state().output_forecast.record(now, route, size, length);
}

/// Reports the pace of a run to the work meter and the pace table, once a group of its events has arrived.
fn record_pace(
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

fn log_stream(context: &CallContext, server: &str, end: StreamEnd, record: &RelayRecord) {
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
