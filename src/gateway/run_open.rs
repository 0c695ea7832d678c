//! Opens a run of a request: reserves memory, has the prompt read and sends the request to run.

use super::call_context::CallContext;
use super::call_end::{CallEnd, NotRunReason};
use super::decode_reservation::{decode_load, reserve_memory};
use super::engine_resource::{EngineResource, acquire_hold};
use super::event_reader::EventReader;
use super::hold_forecast::hold_tokens;
use super::load_guard::LoadGuard;
use super::memory_admission::{memory_guard, run_priority};
use super::memory_guard::MemoryGuard;
use super::prompt_read::{PromptEnd, read_prompt};
use super::run_start::{OpenFailure, RunRecord, run_at};
use crate::fleet::{ServerEntry, ServerStage};
use crate::platform::DecodePart;
use crate::quarantine::CRASH_RETENTION;
use crate::routes::EngineSpec;
use crate::streams::ServerSentEvent;
use http::{HeaderMap, StatusCode};
use std::time::Duration;

/// Retry delay for a caller when no server has memory: about as long as a burst lasts, since a caller that returns
/// earlier finds none either.
const NO_MEMORY_PAUSE: Duration = Duration::from_secs(4);
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
/// A request that its decode server rejected is tried there once more while no more than this fraction of its
/// objective has passed.
const SECOND_TRY_FRACTION: f64 = 0.8;

/// A run whose first event has arrived.
#[derive(Debug)]
pub(super) struct OpenRun {
    /// The server that runs it.
    pub server: ServerEntry,
    /// Status and headers of the answer.
    pub head: (StatusCode, HeaderMap),
    /// Reads its further events.
    pub reader: EventReader,
    /// Its first event; `None` if it has none.
    pub first: Option<ServerSentEvent>,
    /// Its entry in the load table.
    pub load: LoadGuard,
    /// Counts its memory in the figures for other hosts until the run ends.
    #[allow(dead_code, reason = "dropped with the run")]
    pub memory: Option<MemoryGuard>,
}

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
            OpenFailure::Failed(answer) => CallEnd::Answered(answer),
            OpenFailure::Unknown(_) if context.time_left().is_zero() => CallEnd::TimedOut,
            OpenFailure::Unknown(cause) => CallEnd::Unknown(cause),
        };
        if !may_retry_run(context, runs).await {
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

/// Whether a run that failed may be retried: the route and the retry budget must allow it. Reading the
/// prompt again and running again count as one retry each.
pub(super) async fn may_retry_run(context: &CallContext, runs: &RunRecord) -> bool {
    context.route.is_retryable()
        && runs.sent < context.route.max_servers
        && !context.time_left().is_zero()
        && context.cover_opening().await
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
    let constant = constant_pause(reason);
    let is_first = after == context.head.last_event && !runs.may_have_run;
    let pause = if is_first { context.return_pause(reason, constant) } else { constant };
    CallEnd::NotRun(reason, pause)
}

fn constant_pause(reason: NotRunReason) -> Duration {
    match reason {
        NotRunReason::NoMemory => jittered(NO_MEMORY_PAUSE),
        NotRunReason::HeldBack => HELD_BACK_PAUSE,
        NotRunReason::NoServer
        | NotRunReason::NoServerOfVersion
        | NotRunReason::VersionUnknown
        | NotRunReason::NotReady
        | NotRunReason::ConfigTooOld
        | NotRunReason::RouteUnknown
        | NotRunReason::LimitUnknown => jittered(NO_SERVER_PAUSE),
        NotRunReason::NoBodyRoom => jittered(NO_BODY_ROOM_PAUSE),
        NotRunReason::PromptNotRead
        | NotRunReason::Rejected
        | NotRunReason::OutOfTime
        | NotRunReason::RetryBudget
        | NotRunReason::ServersAtLimit
        | NotRunReason::NoPlace => jittered(REJECTED_PAUSE),
    }
}

fn jittered(pause: Duration) -> Duration {
    let factor = rand::random::<f64>().mul_add(PAUSE_JITTER, 1.0 - PAUSE_JITTER / 2.0);
    pause.mul_f64(factor)
}

/// A draining server still receives a request whose memory it has held for no longer than this:
/// it keeps serving for 2 s after it announced that it drains.
const DRAINING_SLACK: Duration = Duration::from_millis(1000);

/// Reserves memory, has the prompt read and sends the request to run.
async fn open_at_best(
    context: &CallContext,
    engine: &EngineSpec,
    after: Option<u64>,
    runs: &mut RunRecord,
) -> Result<OpenRun, OpenFailure> {
    let mut reservation =
        reserve_memory(context, engine, after, runs).await.map_err(OpenFailure::NotRun)?;
    context.record_memory_grant();
    if runs.sent == 0 {
        context.count_served_return();
    }
    // An earlier opening may have been refused after it had reached servers.
    if !context.cover_opening().await {
        return Err(OpenFailure::NotRun(NotRunReason::RetryBudget));
    }
    let held_at = context.host.now();
    let mut prompt = match read_prompt(context, &reservation.hold.server).await {
        PromptEnd::Read(resource) => Some(resource),
        PromptEnd::LeftToDecode => None,
        PromptEnd::Failed => return Err(OpenFailure::NotRun(NotRunReason::PromptNotRead)),
    };
    if context.time_left().is_zero() {
        return Err(OpenFailure::NotRun(NotRunReason::OutOfTime));
    }
    // Crashes during other attempts at this request may have become known while its prompt was read.
    if context.is_known_held_back(runs.sent) {
        return Err(OpenFailure::NotRun(NotRunReason::HeldBack));
    }
    if discard_if_lost(context, &mut reservation.hold) {
        reservation =
            reserve_memory(context, engine, after, runs).await.map_err(OpenFailure::NotRun)?;
    }
    let server = reservation.hold.server.clone();
    let held_for = context.host.now().since(held_at);
    if held_for > DRAINING_SLACK && !context.host.state().fleet.is_ready(server.key()) {
        return Err(OpenFailure::NotRun(NotRunReason::Rejected));
    }
    if prompt.as_mut().is_some_and(|resource| discard_if_lost(context, resource)) {
        prompt = None;
    }
    // The memory may have been reserved anew, at a server of another version than the first one's.
    prompt = prompt.filter(|resource| resource.server.version == server.version);
    let source = prompt.as_ref().and_then(|resource| {
        resource.name().map(|name| (resource.server.address, name.to_owned()))
    });
    let part = DecodePart {
        source: source.as_ref().map(|(address, name)| (*address, name.as_str())),
        hold: reservation.hold.name(),
        after_event: after,
        priority: run_priority(context),
    };
    let mut permit = reservation.permit.renewed(context, &server).await.ok_or_else(at_limit)?;
    // A read that was rejected has used up what covered the run.
    if !context.cover_sends(1).await {
        return Err(OpenFailure::NotRun(NotRunReason::RetryBudget));
    }
    let opened = run_at(context, &server, part, runs, &mut permit).await;
    reservation.hold.mark_used();
    // A result that was fetched no longer exists at its server; one that was not fetched expires soon.
    if let Some(resource) = prompt.as_mut().filter(|_| opened.is_ok()) {
        resource.mark_used();
    }
    let (head, reader, first) = opened?;
    let (load, memory) = (reservation.load, reservation.memory);
    Ok(OpenRun { server, head, reader, first, load, memory })
}

fn at_limit() -> OpenFailure {
    OpenFailure::NotRun(NotRunReason::ServersAtLimit)
}

/// Discards a resource if its server has restarted and so lost it; returns whether it has. The resource is neither used
/// nor released: its name may belong to another request by now.
fn discard_if_lost(context: &CallContext, resource: &mut EngineResource) -> bool {
    let lost = context.host.has_restarted(&resource.server);
    if lost {
        let (id, server) = (context.id(), &resource.server.id);
        log::info!("event=keep_lost request={id} server={server} cause=server_restarted");
        resource.mark_used();
    }
    lost
}

/// Sends a request that was rejected with its prompt's result to the same server again, which then
/// reads the prompt itself.
async fn retry_rejected(
    context: &CallContext,
    engine: &EngineSpec,
    after: Option<u64>,
    server: &ServerEntry,
    runs: &mut RunRecord,
) -> Result<OpenRun, OpenFailure> {
    let rejected = || OpenFailure::Rejected(server.clone());
    let late = context.age() > context.route.objective.mul_f64(SECOND_TRY_FRACTION);
    let restarted = context.host.has_restarted(server);
    if late || restarted || context.is_known_held_back(runs.sent) {
        return Err(rejected());
    }
    if !context.cover_sends(1).await {
        return Err(rejected());
    }
    let tokens = hold_tokens(context, engine, after);
    let mut permit = context.permit(server).await.ok_or_else(at_limit)?;
    let hold = acquire_hold(&context.host, server, tokens, engine.max_hold).await;
    let Ok(Some(mut hold)) = hold else {
        return Err(rejected());
    };
    let load = decode_load(context, server);
    let memory = memory_guard(context, tokens, after);
    let priority = run_priority(context);
    let part = DecodePart { source: None, hold: hold.name(), after_event: after, priority };
    let opened = run_at(context, server, part, runs, &mut permit).await;
    hold.mark_used();
    if let Err(OpenFailure::Rejected(_)) = &opened {
        // It granted a hold and rejected the run twice: it is changing its stage, and the host that
        // ordered the change has not announced it.
        let now = context.host.now();
        context.host.state().stage_changes.record_suspicion(now, server.key());
    }
    let (head, reader, first) = opened?;
    Ok(OpenRun { server: server.clone(), head, reader, first, load, memory })
}
