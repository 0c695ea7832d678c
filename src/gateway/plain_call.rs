use super::call_context::CallContext;
use super::call_end::{CallEnd, NotRunReason, OVERLONG_ANSWER, ServerAnswer};
use super::load_guard::LoadGuard;
use super::place_guard::{PlaceAnswer, PlaceGuard, WaitMode};
use super::run_open::refuse;
use super::send_permit::SendPermit;
use super::server_call::{CallPurpose, send_request};
use super::server_ranking::ServerCriteria;
use crate::fleet::ServerEntry;
use crate::keys::ServerKey;
use crate::placement::{REMOTE_DOMAIN_PENALTY, RankingCriterion, ServerEvent, ServerLoad};
use crate::platform::{AnswerKind, CallPart, contains_answer, read_answer};
use crate::server_slots::PlaceEnd;
use crate::stream_origins::RunVersion;
use crate::{Error, Result};
use std::time::Duration;

/// Requests that must not be retried are sent on a connection only if it answered this recently.
const FRESH_CONNECTION_AGE: Duration = Duration::from_millis(1500);
/// A retryable request is sent to another server after this many objectives without an answer.
const SILENCE_OBJECTIVES: u32 = 2;
/// Most servers that one request tries and cannot connect to; nothing of the request reaches them.
const MAX_UNREACHED: u32 = 3;
/// How long the owners of servers at their limit are asked one after the other. Each replies within a millisecond
/// or two, and one that is silent costs 65 ms.
const PERMIT_TIME: Duration = Duration::from_millis(100);
/// Retry delay for a caller after all servers rejected the request: a few service times.
const REJECTED_PAUSE: Duration = Duration::from_millis(300);

/// Cause of an attempt that the server broke off after the request was sent.
const SERVER_BROKE_OFF: &str = "server_broke_off";

/// How one attempt at one server ended.
#[derive(Debug)]
enum AttemptEnd {
    Answered(ServerAnswer),
    Failed(ServerAnswer),
    NotRun,
    NotSent,
    Unknown(&'static str),
    Silent,
}

/// Results of the attempts so far.
#[derive(Debug, Default)]
struct AttemptRecord {
    tried: Vec<ServerKey>,
    sent: u32,
    unreached: u32,
    /// Whether one of them may have run.
    may_have_run: bool,
    /// The last failure that a server answered, passed on to the caller if no attempt succeeds.
    failure: Option<ServerAnswer>,
    /// When the caller should return, if all places at the servers were in use at the last search.
    no_place: Option<Duration>,
}

/// Runs a request on a service whose servers answer without a stream.
pub(super) async fn serve_plain(context: &CallContext) -> CallEnd {
    let mut record = AttemptRecord::default();
    while let Some((server, permit, place)) = next_server(context, &mut record).await {
        record.tried.push(server.key());
        match attempt(context, &server, &record, permit, place).await {
            AttemptEnd::Answered(answer) => {
                context.record_plain_answer();
                return CallEnd::Answered(answer);
            }
            AttemptEnd::NotSent => record.unreached += 1,
            AttemptEnd::NotRun => record.sent += 1,
            AttemptEnd::Failed(answer) => {
                record.sent += 1;
                record.may_have_run = true;
                record.failure = Some(answer);
            }
            AttemptEnd::Unknown(cause) => {
                record.sent += 1;
                record.may_have_run = true;
                if !context.route.is_retryable() {
                    return CallEnd::Unknown(cause);
                }
            }
            AttemptEnd::Silent => {
                record.sent += 1;
                record.may_have_run = true;
            }
        }
        if record.may_have_run && !context.route.is_retryable() {
            break;
        }
    }
    give_up(context, record).await
}

/// Selects the next server to try, if the route, the deadline and the retry budget allow one.
async fn next_server(
    context: &CallContext,
    record: &mut AttemptRecord,
) -> Option<(ServerEntry, SendPermit, Option<PlaceGuard>)> {
    let exhausted = record.sent >= context.route.max_servers || record.unreached >= MAX_UNREACHED;
    if exhausted || context.time_left().is_zero() || context.is_held_back(record.sent).await {
        return None;
    }
    let (criterion, local_domain) = (RankingCriterion::Requests, context.host.domain());
    let criteria = ServerCriteria {
        stage: None,
        criterion,
        local_domain,
        remote_penalty: REMOTE_DOMAIN_PENALTY,
        rank: context.rank,
        version: RunVersion::Any,
        is_repeatable: context.route.is_retryable(),
    };
    let ranked = context.host.rank_ready_servers(context.service, &criteria);
    let untried = ranked.into_iter().filter(|server| !record.tried.contains(&server.key()));
    let untried: Vec<ServerEntry> = untried.collect();
    let (server, permit, place) = first_permitted(context, record, untried).await?;
    if !context.cover_sends(1).await {
        log::info!("event=repeat_denied request={} cause=retry_bounds", context.id());
        return None;
    }
    Some((server, permit, place))
}

/// Selects the best server that has a place for the request, and no limit or one that admits the request. If no server
/// has a place, the request waits for one at the server where it is expected first.
async fn first_permitted(
    context: &CallContext,
    record: &mut AttemptRecord,
    ranked: Vec<ServerEntry>,
) -> Option<(ServerEntry, SendPermit, Option<PlaceGuard>)> {
    let started_at = context.host.now();
    let mut busy: Vec<(Duration, ServerEntry)> = Vec::new();
    for server in ranked {
        match context.take_place(&server, WaitMode::Immediate).await {
            PlaceAnswer::Open(place) => {
                if let Some(permit) = context.permit(&server).await {
                    return Some((server, permit, place));
                }
            }
            PlaceAnswer::Busy { wait, .. } => busy.push((wait, server)),
        }
        if context.host.now().since(started_at) > PERMIT_TIME {
            break;
        }
    }
    let (_, server) = busy.into_iter().min_by_key(|(wait, _)| *wait)?;
    match context.take_place(&server, WaitMode::MayWait).await {
        PlaceAnswer::Open(place) => {
            let permit = context.permit(&server).await?;
            Some((server, permit, place))
        }
        PlaceAnswer::Busy { wait, service_time } => {
            record.no_place = Some(context.place_pause(wait, service_time));
            None
        }
    }
}

async fn give_up(context: &CallContext, record: AttemptRecord) -> CallEnd {
    if let Some(failure) = record.failure {
        return CallEnd::Answered(failure);
    }
    if record.may_have_run {
        return if context.time_left().is_zero() {
            CallEnd::TimedOut
        } else {
            CallEnd::Unknown("no_answer")
        };
    }
    if context.is_known_held_back(record.sent) {
        return refuse(NotRunReason::HeldBack);
    }
    if context.is_blocked_by_limits(None) {
        return context.refuse_at_limit(None).await;
    }
    if let Some(pause) = record.no_place {
        return CallEnd::NotRun(NotRunReason::NoPlace, pause);
    }
    let reason = if record.sent > 0 { NotRunReason::Rejected } else { NotRunReason::NoServer };
    if reason == NotRunReason::NoServer {
        context.log_no_server(None, record.tried.len());
    }
    CallEnd::NotRun(reason, context.return_pause(reason, REJECTED_PAUSE))
}

async fn attempt(
    context: &CallContext,
    server: &ServerEntry,
    record: &AttemptRecord,
    mut permit: SendPermit,
    mut place: Option<PlaceGuard>,
) -> AttemptEnd {
    let load = ServerLoad { requests: 1, ..ServerLoad::default() };
    let _load = LoadGuard::new(&context.host, server.key(), load);
    context.host.record_server_event(server, ServerEvent::Sent);
    let is_retryable = context.route.is_retryable();
    let may_retry = is_retryable && record.sent + 1 < context.route.max_servers;
    let silence_timeout = context.route.objective * SILENCE_OBJECTIVES;
    let timeout =
        if may_retry { silence_timeout.min(context.time_left()) } else { context.time_left() };
    let end = match tokio::time::timeout(timeout, exchange(context, server, &mut permit)).await {
        Ok(Ok(end)) => end,
        Ok(Err(Error::NotSent(_))) => AttemptEnd::NotSent,
        Ok(Err(Error::Foreign { .. })) => AttemptEnd::Unknown("foreign_answer"),
        Ok(Err(Error::TooLong { .. })) => AttemptEnd::Unknown(OVERLONG_ANSWER),
        Ok(Err(error)) => {
            context.record_failure(server, &error);
            log::debug!("event=server_broke_off server={} cause=\"{error}\"", server.id);
            AttemptEnd::Unknown(SERVER_BROKE_OFF)
        }
        Err(_elapsed) => AttemptEnd::Silent,
    };
    if let Some(place) = &mut place {
        place.set_end(match &end {
            AttemptEnd::Answered(_) | AttemptEnd::Failed(_) => PlaceEnd::Served,
            AttemptEnd::NotRun => PlaceEnd::Rejected,
            AttemptEnd::NotSent | AttemptEnd::Unknown(_) | AttemptEnd::Silent => PlaceEnd::Unused,
        });
    }
    record_end(context, server, &end, timeout < silence_timeout);
    end
}

async fn exchange(
    context: &CallContext,
    server: &ServerEntry,
    permit: &mut SendPermit,
) -> Result<AttemptEnd> {
    let max_idle = if context.route.is_retryable() { Duration::MAX } else { FRESH_CONNECTION_AGE };
    let (purpose, time_left) = (CallPurpose::Plain, context.time_left());
    let part = CallPart::Whole;
    let response =
        send_request(context, server, purpose, time_left, part, max_idle, permit).await?;
    let kind = read_answer(&response);
    let (parts, body) = response.into_parts();
    if kind == AnswerKind::Improper {
        return Ok(AttemptEnd::Unknown("improper_answer"));
    }
    if kind == AnswerKind::NotRun {
        body.read_all().await?;
        return Ok(AttemptEnd::NotRun);
    }
    let has_explicit_end = body.has_explicit_end();
    let body = body.read_all().await?;
    if !has_explicit_end && contains_answer(&body) {
        return Ok(AttemptEnd::Unknown("answer_with_another"));
    }
    context.record_success();
    let answer = ServerAnswer { status: parts.status, headers: parts.headers, body };
    Ok(if kind == AnswerKind::Success {
        AttemptEnd::Answered(answer)
    } else {
        AttemptEnd::Failed(answer)
    })
}

/// `is_short`: the request had less time left than the timeout after which a server counts as silent.
fn record_end(context: &CallContext, server: &ServerEntry, end: &AttemptEnd, is_short: bool) {
    let event = match end {
        AttemptEnd::Silent if is_short => ServerEvent::OutOfTime,
        AttemptEnd::Answered(_) => ServerEvent::Served,
        AttemptEnd::Unknown(SERVER_BROKE_OFF) => ServerEvent::BrokeOff,
        AttemptEnd::Failed(_) | AttemptEnd::NotRun | AttemptEnd::Unknown(_) => ServerEvent::Errored,
        AttemptEnd::NotSent | AttemptEnd::Silent => ServerEvent::Unresponsive,
    };
    context.host.record_server_event(server, event);
    let name = match end {
        AttemptEnd::Answered(_) => return,
        AttemptEnd::Failed(_) => "failed",
        AttemptEnd::NotRun => "not_run",
        AttemptEnd::NotSent => "not_sent",
        AttemptEnd::Unknown(cause) => cause,
        AttemptEnd::Silent => "silent",
    };
    let (id, contents, server) = (context.id(), context.contents, &server.id);
    log::info!(
        "event=attempt_ended request={id} contents={contents} server={server} outcome={name}"
    );
}
