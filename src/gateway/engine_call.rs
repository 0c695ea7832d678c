use super::call_context::CallContext;
use super::call_end::{CallEnd, NotRunReason};
use super::caller_body::{CallerAnswer, CallerBody};
use super::event_relay::relay_events;
use super::flight_guard::FlightGuard;
use super::run_open::{OpenRun, open_stream, refuse};
use super::run_start::RunRecord;
use crate::platform::answer_headers;
use crate::routes::EngineSpec;
use http::Response;
use std::sync::Arc;

/// Runs a request at a service of model engines and answers with its stream.
pub(super) async fn serve_engine(context: Arc<CallContext>, flight: FlightGuard) -> CallerAnswer {
    let Some(engine) = context.spec.engine.clone() else {
        return refuse(NotRunReason::NoServer).into_answer(context.id());
    };
    let mut runs = RunRecord::default();
    match open_stream(&context, &engine, context.head.last_event, &mut runs).await {
        Ok(run) => stream_answer(context, engine, run, runs, flight),
        Err(end) => context.close(if runs.may_have_run { without_refusal(end) } else { end }),
    }
}

/// The end of a request whose earlier run may have begun: a later attempt that was refused does not
/// make it one that did not run.
fn without_refusal(end: CallEnd) -> CallEnd {
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
    flight: FlightGuard,
) -> CallerAnswer {
    let (events, received) = tokio::sync::mpsc::channel(EVENTS_WAITING);
    let mut answer = Response::new(CallerBody::Events(received));
    *answer.status_mut() = run.head.0;
    *answer.headers_mut() = answer_headers(&run.head.1);
    tokio::spawn(relay_events(context, engine, run, runs, events, flight));
    answer
}

/// Events that wait for a caller that reads slowly.
const EVENTS_WAITING: usize = 16;
