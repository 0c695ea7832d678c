use super::call_context::CallContext;
use super::call_end::{CallEnd, NotRunReason, ServerAnswer};
use super::place_guard::{PlaceAnswer, PlaceGuard, WaitMode};
use super::plain_attempt::{AttemptEnd, attempt};
use super::run_open::refuse;
use super::send_permit::SendPermit;
use super::server_ranking::ServerCriteria;
use crate::fleet::ServerEntry;
use crate::in_flight::RequestWait;
use crate::keys::ServerKey;
use crate::placement::{REMOTE_DOMAIN_PENALTY, RankingCriterion, SilentAttempts};
use crate::stream_origins::RunVersion;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use std::time::Duration;

/// A retryable request is sent to another server as well after this many objectives without an answer.
const SILENCE_OBJECTIVES: u32 = 2;
/// Most servers that one request tries and cannot connect to; nothing of the request reaches them.
const MAX_UNREACHED: u32 = 3;
/// How long the owners of servers at their limit are asked one after the other. Each replies within a millisecond
/// or two, and one that is silent costs 65 ms.
const PERMIT_TIME: Duration = Duration::from_millis(100);
/// Retry delay for a caller after all servers rejected the request: a few service times.
const REJECTED_PAUSE: Duration = Duration::from_millis(300);

/// Results of the attempts so far.
#[derive(Debug, Default)]
struct AttemptRecord {
    tried: Vec<ServerKey>,
    /// Attempts that ran at a server, the present ones included.
    sent: u32,
    unreached: u32,
    /// Whether one of them may have run.
    may_have_run: bool,
    /// The last failure that a server answered, passed on to the caller if no attempt succeeds.
    failure: Option<ServerAnswer>,
    /// When the caller should return, if all places at the servers were in use at the last search.
    no_place: Option<Duration>,
}

/// What happens next to a request.
#[derive(Debug)]
enum CallStep {
    /// An attempt ended.
    Ended(ServerKey, AttemptEnd),
    /// A search for another server ended, without one if there is none.
    Searched(Option<(ServerEntry, SendPermit, Option<PlaceGuard>)>),
}

/// Runs a request on a service whose servers answer without a stream.
///
/// Silence ends no attempt: a server that stands still may go on. A request that may run more than once is sent to another
/// server beside silent ones, and the first server to answer it wins.
pub(super) async fn serve_plain(context: &CallContext) -> CallEnd {
    let mut record = AttemptRecord::default();
    let silence_timeout = context.route.objective * SILENCE_OBJECTIVES;
    let mut silence = SilentAttempts::new(silence_timeout);
    let mut running = FuturesUnordered::new();
    loop {
        let step = tokio::select! {
            biased;
            Some((server, end)) = running.next() => CallStep::Ended(server, end),
            found = search(context, &mut record, &silence) => CallStep::Searched(found),
        };
        match step {
            CallStep::Searched(Some((server, permit, place))) => {
                record.tried.push(server.key());
                record.sent += 1;
                silence.begin(context.host.now(), server.key());
                let may_repeat = may_send_again(context, &record);
                running.push(attempt(context, server, silence_timeout, may_repeat, permit, place));
            }
            CallStep::Searched(None) if silence.is_any_running() => {
                silence.record_search(context.host.now());
            }
            CallStep::Searched(None) => return give_up(context, record).await,
            CallStep::Ended(server, end) => {
                silence.end(server);
                match end {
                    AttemptEnd::Answered(answer) => {
                        context.record_plain_answer();
                        return CallEnd::Answered(answer);
                    }
                    AttemptEnd::NotSent => {
                        record.sent -= 1;
                        record.unreached += 1;
                    }
                    AttemptEnd::NotRun => {}
                    AttemptEnd::Failed(answer) => {
                        record.may_have_run = true;
                        record.failure = Some(answer);
                    }
                    AttemptEnd::Unknown(cause) => {
                        record.may_have_run = true;
                        if !context.route.is_retryable() {
                            return CallEnd::Unknown(cause);
                        }
                    }
                    AttemptEnd::Silent => record.may_have_run = true,
                }
                if record.may_have_run && !context.route.is_retryable() {
                    return give_up(context, record).await;
                }
            }
        }
    }
}

/// Whether the route allows the request to be sent to another server beside those that it was sent to.
fn may_send_again(context: &CallContext, record: &AttemptRecord) -> bool {
    context.route.is_retryable() && record.sent < context.route.max_servers
}

/// Selects the next server as soon as all attempts that are running are silent. Does not end while another server may not
/// be tried.
async fn search(
    context: &CallContext,
    record: &mut AttemptRecord,
    silence: &SilentAttempts,
) -> Option<(ServerEntry, SendPermit, Option<PlaceGuard>)> {
    if let Some(due_at) = silence.search_due_at() {
        if !may_send_again(context, record) {
            std::future::pending::<()>().await;
        }
        tokio::time::sleep(due_at.since(context.host.now())).await;
    }
    next_server(context, record).await
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
    if record.sent == 0 {
        context.wait_for(RequestWait::Server);
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
