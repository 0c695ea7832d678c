use super::call_context::CallContext;
use super::call_end::{CallEnd, NotRunReason};
use super::caller_body::StreamPart;
use super::event_reader::EventReader;
use super::pending_run::OpenRun;
use super::relay_record::RelayRecord;
use super::run_open::{may_retry_run, open_stream};
use super::run_start::RunRecord;
use super::silent_run::{RaceEnd, SilentRun, pool_standing, run_beside};
use super::stream_end::StreamEnd;
use super::stream_log::{
    LossCause, log_denied, log_lost, log_stream, record_length, record_pace, record_stream,
};
use crate::Result;
use crate::fleet::ServerEntry;
use crate::in_flight::RequestWait;
use crate::placement::{PaceTimer, ServerEvent};
use crate::routes::EngineSpec;
use crate::silent_runs::ResumeWait;
use crate::stream_origins::RunVersion;
use crate::streams::ServerSentEvent;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::Sender;

/// After a silence of this long, another run of a resumable stream is opened beside the silent one: early enough for it to
/// write before callers leave, who are promised to wait for two seconds at least.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Pause between retries of opening a new run for a lost stream.
const RESUME_RETRY_PAUSE: Duration = Duration::from_millis(60);
/// Time for relayed events to be written to the caller's connection before a stream is cut.
const CUT_DELAY: Duration = Duration::from_millis(10);

/// How one run of a stream ended.
#[derive(Debug)]
enum RunEnd {
    Stream(StreamEnd),
    /// The server broke the run off.
    ServerLost(LossCause),
    /// Its server was silent, and a further run went on instead.
    Overtaken(Box<OpenRun>),
}

/// Relays a stream to its caller, over as many runs as the route allows.
pub(super) async fn relay_events(
    context: Arc<CallContext>,
    engine: EngineSpec,
    run: OpenRun,
    runs: RunRecord,
    events: Sender<StreamPart>,
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
        match relay_run(context, engine, run, &mut runs, events, record).await {
            RunEnd::Stream(end) => return end,
            RunEnd::Overtaken(further) => {
                run = *further;
                continue;
            }
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

/// Opens a further run. A refusal is retried as long as [`ResumeWait`] says and the deadline allows, unless the request is held
/// back.
async fn resume_run(
    context: &CallContext,
    engine: &EngineSpec,
    after: Option<u64>,
    runs: &mut RunRecord,
) -> std::result::Result<OpenRun, CallEnd> {
    let mut wait = ResumeWait::start(context.host.now());
    loop {
        let opened = open_stream(context, engine, after, runs).await;
        let refused = matches!(
            opened,
            Err(CallEnd::NotRun(reason, _)) if reason != NotRunReason::HeldBack
        );
        if !refused || context.time_left().is_zero() {
            return opened;
        }
        let candidates = pool_standing(context, |server| {
            runs.version.admits(server) && runs.admits(server.key())
        });
        let is_cut_off = context.host.pool.paths().is_cut_off();
        if !wait.goes_on(context.host.now(), candidates, is_cut_off) {
            return opened;
        }
        tokio::time::sleep(RESUME_RETRY_PAUSE).await;
    }
}

async fn relay_run(
    context: &CallContext,
    engine: &EngineSpec,
    run: OpenRun,
    runs: &mut RunRecord,
    events: &Sender<StreamPart>,
    record: &mut RelayRecord,
) -> RunEnd {
    // The memory guard counts the run's memory until the run ends.
    let OpenRun {
        server, mut reader, first, mut load, memory: _memory, hearing, mut marks, ..
    } = run;
    let deadline = context.host.instant(context.deadline);
    let mut next = Ok(first);
    let mut timer = PaceTimer::new(context.host.now());
    loop {
        let event = match next {
            Ok(Some(event)) => event,
            Ok(None) => {
                context.record_success();
                context.record_whole_run(marks);
                return RunEnd::Stream(StreamEnd::Whole);
            }
            Err(error) => {
                context.record_run_failure(&server, marks, &error);
                return RunEnd::ServerLost(LossCause::Broken);
            }
        };
        context.record_written_event(&mut marks);
        hearing.record_event();
        load.grow(engine.tokens_per_event);
        let relayed = tokio::select! {
            relayed = relay_event(context, event, &server, events, record) => relayed,
            // A caller that does not read would otherwise hold its server's memory without end.
            () = tokio::time::sleep_until(deadline) => return RunEnd::Stream(StreamEnd::TimedOut),
        };
        if let Some(end) = relayed {
            return end;
        }
        next = tokio::select! {
            next = next_event(context, engine, &server, &mut reader, runs, record) => match next {
                RaceEnd::Kept(next) => next,
                RaceEnd::Further(run) => return RunEnd::Overtaken(run),
            },
            () = events.closed() => return RunEnd::Stream(StreamEnd::CallerLeft),
            () = tokio::time::sleep_until(deadline) => return RunEnd::Stream(StreamEnd::TimedOut),
        };
        if matches!(next, Ok(Some(_))) {
            record_pace(context, engine, server.key(), &mut timer);
        }
    }
}

/// Waits for the next event. Where the server of a resumable stream is silent, another run may be opened beside this one.
async fn next_event(
    context: &CallContext,
    engine: &EngineSpec,
    server: &ServerEntry,
    reader: &mut EventReader,
    runs: &mut RunRecord,
    record: &RelayRecord,
) -> RaceEnd<Result<Option<ServerSentEvent>>> {
    if !context.route.is_retryable() {
        return RaceEnd::Kept(reader.next().await);
    }
    let since = context.host.now();
    if let Ok(next) = tokio::time::timeout(SILENCE_TIMEOUT, reader.next()).await {
        return RaceEnd::Kept(next);
    }
    context.host.record_server_event(server, ServerEvent::Unresponsive);
    let silent = SilentRun { server, since, events: record.events };
    run_beside(context, engine, record.last, silent, runs, reader.next()).await
}

/// Relays an event if it is the next one; an event that the caller already has is dropped. An event without a number
/// does not belong to the stream: the head of a second answer, after one without a length, parses as such an event.
async fn relay_event(
    context: &CallContext,
    event: ServerSentEvent,
    server: &ServerEntry,
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
    if events.capacity() == 0 {
        context.wait_for(RequestWait::Caller);
    }
    match events.send(StreamPart::Event(event.bytes)).await {
        Ok(()) => {
            context.record_relayed(server);
            None
        }
        Err(_) => Some(RunEnd::Stream(StreamEnd::CallerLeft)),
    }
}
