use super::call_context::CallContext;
use super::call_end::{CallEnd, NotRunReason};
use super::caller_body::StreamPart;
use super::decode_reservation::expected_output;
use super::flight_guard::FlightGuard;
use super::run_open::{OpenRun, may_retry_run, open_stream};
use super::run_start::RunRecord;
use crate::Result;
use crate::keys::TimePoint;
use crate::placement::{PaceTimer, ServerNote};
use crate::routes::EngineSpec;
use crate::streams::StreamEvent;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::Sender;

/// A resumable stream that is silent for this long goes on at another server; callers give up
/// after about twice that.
const SILENCE_LIMIT: Duration = Duration::from_millis(1500);

/// A lost stream asks for room this long; callers give up after a gap of two seconds and more.
const RESUME_LIMIT: Duration = Duration::from_millis(1500);
const RESUME_PAUSE: Duration = Duration::from_millis(60);
/// Before a stream is cut, events that were passed on have this long to leave for the caller.
const CUT_PAUSE: Duration = Duration::from_millis(10);

/// How a stream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StreamEnd {
    /// Its last event was passed on.
    Whole,
    /// The caller left.
    CallerLeft,
    /// Its time ran out.
    TimedOut,
    /// Its server broke off, and it was not resumed.
    Broken,
}

impl StreamEnd {
    const fn name(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::CallerLeft => "caller_left",
            Self::TimedOut => "timed_out",
            Self::Broken => "broken",
        }
    }
}

/// What became of one run of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RunEnd {
    Stream(StreamEnd),
    /// The server broke off or fell silent.
    ServerLost,
}

/// What was passed on so far.
#[derive(Debug, Default)]
struct RelayRecord {
    events: u64,
    last: Option<u64>,
    first_after: Option<Duration>,
    /// When the last event was passed on, and the longest pause before one.
    passed_at: Option<TimePoint>,
    longest_pause: Duration,
}

impl RelayRecord {
    /// An event is passed on.
    fn note_event(&mut self, now: TimePoint, age: Duration) {
        self.events += 1;
        self.first_after.get_or_insert(age);
        if let Some(last) = self.passed_at.replace(now) {
            self.longest_pause = self.longest_pause.max(now.since(last));
        }
    }
}

/// Passes a stream on to its caller, over as many runs as the route allows.
pub(super) async fn relay_events(
    context: Arc<CallContext>,
    engine: EngineSpec,
    run: OpenRun,
    runs: RunRecord,
    events: Sender<StreamPart>,
    flight: FlightGuard,
) {
    let mut record = RelayRecord { last: context.head.last_event, ..RelayRecord::default() };
    let server = run.server.id.clone();
    note_stream(&context);
    let end = relay_runs(&context, &engine, run, runs, &events, &mut record).await;
    match end {
        // If the caller has just left, there is nobody to tell.
        StreamEnd::Whole => drop(events.send(StreamPart::End).await),
        StreamEnd::CallerLeft => {}
        // The HTTP library drops what it has not written when a body fails.
        StreamEnd::TimedOut | StreamEnd::Broken => tokio::time::sleep(CUT_PAUSE).await,
    }
    drop(events);
    log_stream(&context, &server, end, &record);
    drop(flight);
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
    loop {
        let server = run.server.clone();
        match relay_run(context, engine, run, events, record).await {
            RunEnd::Stream(end) => return end,
            RunEnd::ServerLost => {
                log_lost(context, &server.id, record);
                context.host.note_server(&server, ServerNote::Silent);
                runs.note_lost(server.key());
            }
        }
        if !may_retry_run(context, &runs).await {
            return StreamEnd::Broken;
        }
        let (id, after) = (context.id(), record.last.unwrap_or_default());
        log::info!("event=stream_resumed request={id} lost={} after={after}", server.id);
        let opening = open_again(context, engine, record.last, &mut runs);
        let opened = tokio::select! {
            opened = opening => opened,
            () = events.closed() => return StreamEnd::CallerLeft,
        };
        match opened {
            Ok(next) => run = next,
            Err(_) => return StreamEnd::Broken,
        }
    }
}

/// The line that tells under which request a server broke a run off that had begun, or fell silent.
fn log_lost(context: &CallContext, server: &str, record: &RelayRecord) {
    let (id, contents, events) = (context.id(), context.contents, record.events);
    log::info!("event=run_lost request={id} contents={contents} server={server} events={events}");
}

/// Opens a further run; while there is only no room, it asks again as long as the caller may wait.
async fn open_again(
    context: &CallContext,
    engine: &EngineSpec,
    after: Option<u64>,
    runs: &mut RunRecord,
) -> std::result::Result<OpenRun, CallEnd> {
    let began = context.host.now();
    loop {
        let opened = open_stream(context, engine, after, runs).await;
        let refused = matches!(
            opened,
            Err(CallEnd::NotRun(reason, _)) if reason != NotRunReason::HeldBack
        );
        let waited = context.host.now().since(began);
        if !refused || waited > RESUME_LIMIT || context.time_left().is_zero() {
            return opened;
        }
        tokio::time::sleep(RESUME_PAUSE).await;
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
    let ends_at = context.host.instant(context.ends_at);
    let mut next = Ok(first);
    let mut timer = PaceTimer::new(context.host.now());
    loop {
        let event = match next {
            Ok(Some(event)) => event,
            Ok(None) => {
                context.note_answered();
                return RunEnd::Stream(StreamEnd::Whole);
            }
            Err(error) => {
                context.note_failure(&server, &error);
                return RunEnd::ServerLost;
            }
        };
        load.grow(engine.tokens_per_event);
        if let Some(end) = pass_on(context, event, events, record).await {
            return end;
        }
        next = tokio::select! {
            next = next_event(context, &mut reader) => next,
            () = events.closed() => return RunEnd::Stream(StreamEnd::CallerLeft),
            () = tokio::time::sleep_until(ends_at) => return RunEnd::Stream(StreamEnd::TimedOut),
        };
        if matches!(next, Ok(Some(_))) {
            note_pace(context, engine, &mut timer);
        }
    }
}

/// The next event; a resumable stream does not wait for a silent server.
async fn next_event(
    context: &CallContext,
    reader: &mut super::event_reader::EventReader,
) -> Result<Option<StreamEvent>> {
    if !context.route.is_repeatable() {
        return reader.next().await;
    }
    let next = tokio::time::timeout(SILENCE_LIMIT, reader.next()).await;
    next.map_err(|_elapsed| crate::Error::Timeout)?
}

/// Passes an event on if it is the next one; one that the caller has is dropped. Without a number it is none
/// of the stream's: the head of a second answer, behind one that has no length, reads as such an event.
async fn pass_on(
    context: &CallContext,
    event: StreamEvent,
    events: &Sender<StreamPart>,
    record: &mut RelayRecord,
) -> Option<RunEnd> {
    let Some(number) = event.number else {
        log::warn!("event=stream_stray request={} bytes={}", context.id(), event.bytes.len());
        return Some(RunEnd::ServerLost);
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
            return Some(RunEnd::ServerLost);
        }
    }
    record.last = Some(number);
    record.note_event(context.host.now(), context.age());
    match events.send(StreamPart::Event(event.bytes)).await {
        Ok(()) => None,
        Err(_) => Some(RunEnd::Stream(StreamEnd::CallerLeft)),
    }
}

/// Tells the work meter what the stream is expected to take.
fn note_stream(context: &CallContext) {
    let tokens = &context.head.tokens;
    let (now, output) = (context.host.now(), expected_output(tokens));
    let mut state = context.host.state();
    state.work.entry(context.service).or_default().note_stream(now, tokens.prompt, output);
}

/// Tells the work meter the pace of a run, once a group of its events has come.
fn note_pace(context: &CallContext, engine: &EngineSpec, timer: &mut PaceTimer) {
    let Some((events, took)) = timer.note_event(context.host.now()) else { return };
    let tokens = events.saturating_mul(engine.tokens_per_event);
    context.host.state().work.entry(context.service).or_default().note_pace(tokens, took);
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
        context.route.longest_pause.as_millis()
    );
    let mut metrics = context.host.metrics();
    metrics.add(end.name(), 1);
    metrics.note_time("first_event_seconds", route, "all", first);
}
