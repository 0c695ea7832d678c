//! Opens a run of a request, trying further servers where one fails, and decides how the request ends if none runs it.

use super::call_context::CallContext;
use super::call_end::{CallEnd, NotRunReason};
use super::first_event::await_first_event;
use super::pending_run::OpenRun;
use super::run_send::{send_at_best, send_rejected};
use super::run_start::{OpenFailure, RunRecord};
use crate::fleet::{ServerEntry, ServerStage};
use crate::placement::WorkMeter;
use crate::quarantine::CRASH_RETENTION;
use crate::routes::EngineSpec;
use std::time::Duration;

/// Retry delay for a caller whose request crashes servers: as long as crashes are remembered.
const HELD_BACK_PAUSE: Duration = CRASH_RETENTION;
/// Jitter of retry delays, as a fraction of them, so that callers do not all return at once.
const PAUSE_JITTER: f64 = 0.3;
/// Retry delay for a caller whose request is refused for another reason.
const REJECTED_PAUSE: Duration = Duration::from_millis(200);
/// Retry delay for a caller when no server accepts requests, or this host cannot decide on the request.
const NO_SERVER_PAUSE: Duration = Duration::from_secs(1);
/// Retry delay for a caller whose body has no room: some service times, after which other requests have ended here. Callers
/// return on a new connection, mostly to another host.
const NO_BODY_ROOM_PAUSE: Duration = Duration::from_millis(500);

/// Retry delay for a caller of a host that is shutting down: other hosts serve, and the caller's next connection leads to
/// one of them.
const STOPPING_PAUSE: Duration = Duration::from_millis(50);

/// Opens a run that continues after the event `after`, trying as many servers as the route allows.
pub(super) async fn open_stream(
    context: &CallContext,
    engine: &EngineSpec,
    after: Option<u64>,
    runs: &mut RunRecord,
) -> Result<OpenRun, CallEnd> {
    loop {
        if context.is_held_back(runs.sent).await {
            return Err(refuse(NotRunReason::HeldBack));
        }
        let mut failure = match open_at_best(context, engine, after, runs).await {
            Ok(run) => return Ok(run),
            Err(failure) => failure,
        };
        if let OpenFailure::Rejected(server) = &failure {
            match retry_rejected(context, engine, after, server, runs).await {
                Ok(run) => return Ok(run),
                Err(second) => failure = second,
            }
        }
        let end = match failure {
            OpenFailure::NotRun(NotRunReason::ServersAtLimit) => {
                return Err(context.refuse_at_limit(Some(ServerStage::Decode)).await);
            }
            OpenFailure::NotRun(reason) => return Err(refuse_run(context, reason, after, runs)),
            OpenFailure::Rejected(_) => {
                return Err(refuse_run(context, NotRunReason::Rejected, after, runs));
            }
            OpenFailure::Failed(answer) => CallEnd::Answered(*answer),
            OpenFailure::Unknown(_) if context.time_left().is_zero() => CallEnd::TimedOut,
            OpenFailure::Unknown(cause) => CallEnd::Unknown(cause),
        };
        if let Err(denial) = may_retry_run(context, runs).await {
            log_not_repeated(context, &end, denial);
            return Err(end);
        }
        log::info!(
            "event=run_repeated request={} after={} cause={}",
            context.id(),
            end.name(),
            end.cause()
        );
    }
}

/// Why a run may not be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RetryDenial {
    /// Requests of the route run at most once.
    NotRepeatable,
    /// The request was sent to as many servers as its route allows.
    Attempts,
    /// Its deadline has passed.
    Deadline,
    /// The retry budget is spent.
    Budget,
}

impl RetryDenial {
    /// The name in log lines.
    pub const fn name(self) -> &'static str {
        match self {
            Self::NotRepeatable => "not_repeatable",
            Self::Attempts => "attempts",
            Self::Deadline => "deadline",
            Self::Budget => "budget",
        }
    }
}

/// Whether a run that failed may be retried: the route and the retry budget must allow it. Reading the
/// prompt again and running again count as one retry each.
///
/// # Errors
/// Why it may not be.
pub(super) async fn may_retry_run(
    context: &CallContext,
    runs: &RunRecord,
) -> Result<(), RetryDenial> {
    if !context.route.is_retryable() {
        return Err(RetryDenial::NotRepeatable);
    }
    if runs.sent >= context.route.max_servers {
        return Err(RetryDenial::Attempts);
    }
    if context.time_left().is_zero() {
        return Err(RetryDenial::Deadline);
    }
    if context.cover_opening().await { Ok(()) } else { Err(RetryDenial::Budget) }
}

/// Logs why a request whose run did not open is not run again. Refusals of unrepeatable requests are not worth a line.
fn log_not_repeated(context: &CallContext, end: &CallEnd, denial: RetryDenial) {
    if denial == RetryDenial::NotRepeatable {
        return;
    }
    log::info!(
        "event=run_not_repeated request={} cause={} denied={}",
        context.id(),
        end.cause(),
        denial.name()
    );
}

/// Refuses a request that did not run, with a constant retry delay for its caller.
pub(super) fn refuse(reason: NotRunReason) -> CallEnd {
    CallEnd::NotRun(reason, constant_pause(reason))
}

/// Refuses a run. Where it is the caller's first one, the caller gets a planned return time; the others are tried again
/// by this host, or end as unknown.
fn refuse_run(
    context: &CallContext,
    reason: NotRunReason,
    after: Option<u64>,
    runs: &RunRecord,
) -> CallEnd {
    let constant = match reason {
        NotRunReason::NoMemory => memory_pause(context),
        _ => constant_pause(reason),
    };
    let is_first = after == context.head.last_event && !runs.may_have_run;
    let pause = if is_first { context.return_pause(reason, constant) } else { constant };
    CallEnd::NotRun(reason, pause)
}

fn constant_pause(reason: NotRunReason) -> Duration {
    match reason {
        NotRunReason::HeldBack => HELD_BACK_PAUSE,
        NotRunReason::NoServer
        | NotRunReason::NoMemory
        | NotRunReason::NoServerOfVersion
        | NotRunReason::VersionUnknown
        | NotRunReason::NotReady
        | NotRunReason::ConfigTooOld
        | NotRunReason::RouteUnknown
        | NotRunReason::LimitUnknown => jittered(NO_SERVER_PAUSE),
        NotRunReason::NoBodyRoom | NotRunReason::NoRoom => jittered(NO_BODY_ROOM_PAUSE),
        NotRunReason::HostStopping => jittered(STOPPING_PAUSE),
        NotRunReason::Rejected
        | NotRunReason::OutOfTime
        | NotRunReason::RetryBudget
        | NotRunReason::ServersAtLimit
        | NotRunReason::NoPlace => jittered(REJECTED_PAUSE),
    }
}

/// Retry delay for a caller when no server has memory: the time of a run, after which those that hold it now have ended on
/// average.
fn memory_pause(context: &CallContext) -> Duration {
    let state = context.host.state();
    let run_time = state.work_meters.get(&context.service).and_then(WorkMeter::run_time);
    jittered(run_time.unwrap_or(NO_SERVER_PAUSE))
}

fn jittered(pause: Duration) -> Duration {
    let factor = rand::random::<f64>().mul_add(PAUSE_JITTER, 1.0 - PAUSE_JITTER / 2.0);
    pause.mul_f64(factor)
}

/// Opens a run at the best server that has memory for it.
async fn open_at_best(
    context: &CallContext,
    engine: &EngineSpec,
    after: Option<u64>,
    runs: &mut RunRecord,
) -> Result<OpenRun, OpenFailure> {
    let pending = send_at_best(context, engine, after, runs).await?;
    await_first_event(context, engine, after, pending, runs).await
}

/// Sends a request that was rejected with its prompt's result to the same server again.
async fn retry_rejected(
    context: &CallContext,
    engine: &EngineSpec,
    after: Option<u64>,
    server: &ServerEntry,
    runs: &mut RunRecord,
) -> Result<OpenRun, OpenFailure> {
    let pending = send_rejected(context, engine, after, server, runs).await?;
    let opened = await_first_event(context, engine, after, pending, runs).await;
    if let Err(OpenFailure::Rejected(_)) = &opened {
        // It granted a hold and rejected the run twice: it is changing its stage, and the host that
        // ordered the change has not announced it.
        let now = context.host.now();
        context.host.state().stage_changes.record_suspicion(now, server.key());
    }
    opened
}
