//! Opens a run of a request: holds memory, has the prompt read, sends the request to run.

use super::call_context::CallContext;
use super::call_end::{CallEnd, NotRunReason};
use super::decode_reservation::{decode_load, needed_tokens, reserve_memory};
use super::engine_resource::{EngineResource, acquire_hold};
use super::event_reader::EventReader;
use super::load_guard::LoadGuard;
use super::prompt_read::{PromptEnd, read_prompt};
use super::run_start::{OpenFailure, RunRecord, run_at};
use crate::fleet::{ServerEntry, ServerStage};
use crate::platform::DecodePart;
use crate::quarantine::CRASH_LIFE;
use crate::routes::EngineSpec;
use crate::streams::StreamEvent;
use http::{HeaderMap, StatusCode};
use std::time::Duration;

/// When a caller that found no memory may come back: about as long as a burst lasts, since one that returns
/// earlier finds none either.
const NO_MEMORY_PAUSE: Duration = Duration::from_secs(4);
/// When a caller may come back whose request crashes servers: when that is forgotten.
const HELD_BACK_PAUSE: Duration = CRASH_LIFE;
/// Spread of that pause, so that callers do not come back together, as a part of it.
const PAUSE_SPREAD: f64 = 0.3;
/// When a caller may come back after its server turned it away for another reason.
const REJECTED_PAUSE: Duration = Duration::from_millis(200);
/// When a caller may come back if no server takes work at all.
const NO_SERVER_PAUSE: Duration = Duration::from_secs(1);
/// A request turned away by its decode server is tried once more there while this part of its
/// objective has not passed.
const SECOND_TRY_PART: f64 = 0.8;

/// A run whose first event has arrived.
#[derive(Debug)]
pub(super) struct OpenRun {
    /// Where it runs.
    pub server: ServerEntry,
    /// Status and headers of the answer.
    pub head: (StatusCode, HeaderMap),
    /// Its further events.
    pub reader: EventReader,
    /// Its first event; `None` if it has none.
    pub first: Option<StreamEvent>,
    /// Its place on the load board.
    pub load: LoadGuard,
}

/// Opens a run that continues after the event `after`, at as many servers as the route allows.
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
            match open_again(context, engine, after, server, runs).await {
                Ok(run) => return Ok(run),
                Err(again) => failure = again,
            }
        }
        let end = match failure {
            OpenFailure::NotRun(NotRunReason::ServersAtLimit) => {
                return Err(context.refuse_at_limit(Some(ServerStage::Decode)).await);
            }
            OpenFailure::NotRun(reason) => return Err(refuse(reason)),
            OpenFailure::Rejected(_) => return Err(refuse(NotRunReason::Rejected)),
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

/// A run that failed is repeated where the route allows it, and the retry bounds do: reading the
/// prompt again and running again count as one repeat each.
pub(super) async fn may_retry_run(context: &CallContext, runs: &RunRecord) -> bool {
    context.route.is_repeatable()
        && runs.sent < context.route.max_servers
        && !context.time_left().is_zero()
        && context.host.take_retries(context.service, 2).await
}

/// The refusal of a request that did not run, with when its caller may come back.
pub(super) fn refuse(reason: NotRunReason) -> CallEnd {
    let pause = match reason {
        NotRunReason::NoMemory => spread(NO_MEMORY_PAUSE),
        NotRunReason::HeldBack => HELD_BACK_PAUSE,
        NotRunReason::NoServer
        | NotRunReason::NotReady
        | NotRunReason::ConfigTooOld
        | NotRunReason::RouteUnknown
        | NotRunReason::LimitUnknown => spread(NO_SERVER_PAUSE),
        NotRunReason::PromptNotRead
        | NotRunReason::Rejected
        | NotRunReason::OutOfTime
        | NotRunReason::ServersAtLimit => spread(REJECTED_PAUSE),
    };
    CallEnd::NotRun(reason, pause)
}

fn spread(pause: Duration) -> Duration {
    let part = rand::random::<f64>().mul_add(PAUSE_SPREAD, 1.0 - PAUSE_SPREAD / 2.0);
    pause.mul_f64(part)
}

/// A server that is leaving still gets a request whose memory it has held for no longer than this:
/// it serves on for 2 s after it said that it leaves.
const LEAVING_SLACK: Duration = Duration::from_millis(1000);

/// Holds memory, has the prompt read, and sends the request to run.
async fn open_at_best(
    context: &CallContext,
    engine: &EngineSpec,
    after: Option<u64>,
    runs: &mut RunRecord,
) -> Result<OpenRun, OpenFailure> {
    let mut room =
        reserve_memory(context, engine, after, &runs.lost).await.map_err(OpenFailure::NotRun)?;
    let held_at = context.host.now();
    let mut prompt = match read_prompt(context, room.keep.server.domain).await {
        PromptEnd::Read(keep) => Some(keep),
        PromptEnd::LeftToDecode => None,
        PromptEnd::Failed => return Err(OpenFailure::NotRun(NotRunReason::PromptNotRead)),
    };
    if context.time_left().is_zero() {
        return Err(OpenFailure::NotRun(NotRunReason::OutOfTime));
    }
    // News of its other runs may have come while its prompt was read.
    if context.is_surely_held_back(runs.sent) {
        return Err(OpenFailure::NotRun(NotRunReason::HeldBack));
    }
    if is_lost(context, &mut room.keep) {
        room = reserve_memory(context, engine, after, &runs.lost)
            .await
            .map_err(OpenFailure::NotRun)?;
    }
    let server = room.keep.server.clone();
    let held_for = context.host.now().since(held_at);
    if held_for > LEAVING_SLACK && !context.host.state().fleet.is_ready(server.key()) {
        return Err(OpenFailure::NotRun(NotRunReason::Rejected));
    }
    if prompt.as_mut().is_some_and(|keep| is_lost(context, keep)) {
        prompt = None;
    }
    let source = prompt
        .as_ref()
        .and_then(|keep| keep.name().map(|name| (keep.server.address, name.to_owned())));
    let part = DecodePart {
        source: source.as_ref().map(|(address, name)| (*address, name.as_str())),
        hold: room.keep.name(),
        after_event: after,
    };
    let mut permit = room.permit.renewed(context, &server).await.ok_or_else(at_limit)?;
    let opened = run_at(context, &server, part, runs, &mut permit).await;
    room.keep.used();
    // A result that was fetched is gone at its server; one that was not lapses soon.
    if let Some(keep) = prompt.as_mut().filter(|_| opened.is_ok()) {
        keep.used();
    }
    let (head, reader, first) = opened?;
    Ok(OpenRun { server, head, reader, first, load: room.load })
}

fn at_limit() -> OpenFailure {
    OpenFailure::NotRun(NotRunReason::ServersAtLimit)
}

/// Whether what a server keeps for a request is gone, since the server has started again. It is neither used
/// nor given back: its name may be that of another request's by now.
fn is_lost(context: &CallContext, keep: &mut EngineResource) -> bool {
    let lost = context.host.has_restarted(&keep.server);
    if lost {
        let (id, server) = (context.id(), &keep.server.id);
        log::info!("event=keep_lost request={id} server={server} cause=server_restarted");
        keep.used();
    }
    lost
}

/// Sends a request that was turned away with its prompt's result to the same server, which then
/// reads the prompt itself.
async fn open_again(
    context: &CallContext,
    engine: &EngineSpec,
    after: Option<u64>,
    server: &ServerEntry,
    runs: &mut RunRecord,
) -> Result<OpenRun, OpenFailure> {
    let turned_away = || OpenFailure::Rejected(server.clone());
    let late = context.age() > context.route.objective.mul_f64(SECOND_TRY_PART);
    let gone = context.host.has_restarted(server);
    if late || gone || !context.host.take_retries(context.service, 1).await {
        return Err(turned_away());
    }
    let tokens = needed_tokens(context, engine, after);
    let mut permit = context.permit(server).await.ok_or_else(at_limit)?;
    let hold = acquire_hold(&context.host, server, tokens, engine.max_hold).await;
    let Ok(Some(mut keep)) = hold else {
        return Err(turned_away());
    };
    let load = decode_load(context, server);
    let part = DecodePart { source: None, hold: keep.name(), after_event: after };
    let opened = run_at(context, server, part, runs, &mut permit).await;
    keep.used();
    if let Err(OpenFailure::Rejected(_)) = &opened {
        // It granted a hold and turned the run away twice: it changes its stage, and the host that
        // ordered this has not said so.
        let now = context.host.now();
        context.host.state().changes.record_suspicion(now, server.key());
    }
    let (head, reader, first) = opened?;
    Ok(OpenRun { server: server.clone(), head, reader, first, load })
}
