use super::call_context::CallContext;
use super::call_end::{CallEnd, NotRunReason};
use super::caller_body::{CallerAnswer, CallerBody};
use super::event_relay::relay_events;
use super::pending_run::OpenRun;
use super::run_open::{open_stream, refuse};
use super::run_start::RunRecord;
use crate::platform::answer_headers;
use crate::routes::EngineSpec;
use http::Response;
use std::sync::Arc;

/// Runs a request on a service of model engines and answers with its stream.
pub(super) async fn serve_engine(context: Arc<CallContext>) -> CallerAnswer {
    let Some(engine) = context.spec.engine.clone() else {
        return refuse(NotRunReason::NoServer).into_answer(context.id());
    };
    log_resumption(&context);
    let version = match context.run_version().await {
        Ok(version) => version,
        Err(reason) => return context.close(refuse(reason)),
    };
    let mut runs = RunRecord { version, ..RunRecord::default() };
    match open_stream(&context, &engine, context.head.last_event, &mut runs).await {
        Ok(run) => {
            if run.first.is_some() {
                context.record_origin(&run.server);
            }
            stream_answer(context, engine, run, runs)
        }
        Err(end) => context.close(if runs.may_have_run { unknown_if_refused(end) } else { end }),
    }
}

/// Logs which stream a caller takes up, as it names it.
fn log_resumption(context: &CallContext) {
    if !context.head.is_resumption {
        return;
    }
    let (id, after) = (context.id(), context.head.last_event);
    let first = context.head.first_attempt.as_deref().unwrap_or("none");
    log::info!("event=stream_taken_up request={id} resumes={first:?} after={after:?}");
    context.host.metrics().add("streams_taken_up", 1);
}

/// Reports a refusal as an unknown outcome. An earlier run of the request may have begun, so the refusal of a later
/// attempt does not show that it did not run.
fn unknown_if_refused(end: CallEnd) -> CallEnd {
    match end {
        CallEnd::NotRun(reason, _) => CallEnd::Unknown(reason.name()),
        other => other,
    }
}

fn stream_answer(
    context: Arc<CallContext>,
    engine: EngineSpec,
    run: OpenRun,
    runs: RunRecord,
) -> CallerAnswer {
    let (events, received) = tokio::sync::mpsc::channel(EVENT_BUFFER);
    let mut answer = Response::new(CallerBody::Events(received));
    *answer.status_mut() = run.head.0;
    *answer.headers_mut() = answer_headers(&run.head.1);
    tokio::spawn(relay_events(context, engine, run, runs, events));
    answer
}

/// Events buffered for a caller that reads slowly.
const EVENT_BUFFER: usize = 16;
