use super::call_context::CallContext;
use super::engine_resource::EngineResource;
use super::load_guard::LoadGuard;
use super::send_permit::SendPermit;
use super::server_call::{CallPurpose, send_request};
use super::server_ranking::ServerCriteria;
use crate::fleet::{ServerEntry, ServerStage};
use crate::in_flight::RequestWait;
use crate::placement::{
    PromptReader, REMOTE_DOMAIN_PENALTY, RankingCriterion, ReadTimes, RejectionRisk, ServerEvent,
    ServerLoad, choose_reader,
};
use crate::platform::{AnswerKind, CallPart, PrefillResult, decode_body, read_answer};
use crate::stream_origins::RunVersion;
use crate::{Error, Result};
use http::StatusCode;
use std::time::Duration;

/// After this time without an answer a read is silent: a prompt takes about 0.1 s to read, and one that waits behind
/// several others starts sooner at its decode server.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1200);
/// Most prefill servers tried for one request.
const MAX_READS: usize = 2;

/// How reading a prompt ended.
#[derive(Debug)]
pub(super) enum PromptEnd {
    /// A prefill server holds the result in its memory.
    Read(EngineResource),
    /// No prefill server reads it; its decode server, which holds memory for it, reads it itself.
    LeftToDecode,
}

/// Has the prompt read by a prefill server, preferably in the failure domain of its decode server. Only one of the same
/// software version can write what the decode server fetches.
pub(super) async fn read_prompt(context: &CallContext, decode: &ServerEntry) -> PromptEnd {
    if context.is_trial {
        // A request on trial is sent to its decode server only, since one server suffices for the trial.
        return PromptEnd::LeftToDecode;
    }
    let (criterion, rank) = (queue_criterion(context.head.tokens.prompt), context.rank);
    let criteria = ServerCriteria {
        stage: Some(ServerStage::Prefill),
        criterion,
        local_domain: decode.domain,
        remote_penalty: REMOTE_DOMAIN_PENALTY,
        rank,
        is_repeatable: context.route.is_retryable(),
        version: RunVersion::Only(decode.version_key()),
    };
    let ranked = context.host.rank_ready_servers(context.service, &criteria);
    let (service, tokens) = (context.service, context.head.tokens.prompt);
    let times = ranked.first().map(|best| context.host.read_times(service, best, tokens));
    let target_left = context.route.objective.saturating_sub(context.age());
    let (risk, survives) = (context.rejection_risk(), || context.may_survive_rejection());
    if choose_reader(times, target_left, risk, survives) == PromptReader::Decode {
        let millis = |times: ReadTimes| i64::try_from(times.wait.as_millis()).unwrap_or(i64::MAX);
        let wait = times.map_or(-1, millis);
        log::info!("event=prompt_left_to_decode request={} wait_ms={wait}", context.id());
        return PromptEnd::LeftToDecode;
    }
    let mut reads = 0;
    for server in &ranked {
        // Crashes may have become known during the first read.
        if reads >= MAX_READS || (reads > 0 && context.is_known_held_back(0)) {
            break;
        }
        // The first read may have taken so long that this server is draining now.
        if !context.host.state().fleet.is_ready(server.key()) {
            continue;
        }
        let Some(permit) = context.permit(server).await else {
            continue;
        };
        // After a rejection the decode server can still run the request, if that is all that the budget allows.
        if reads > 0 && !context.may_survive_rejection() {
            break;
        }
        if !context.cover_sends(1).await {
            break;
        }
        reads += 1;
        let end = read_at(context, server, permit).await;
        context.record_read_outcome(!matches!(end, Ok(ReadEnd::Read(_))));
        match end {
            Ok(ReadEnd::Read(result)) => {
                let resource = EngineResource::from_prefill(&context.host, server.clone(), result);
                return PromptEnd::Read(resource);
            }
            Ok(ReadEnd::Rejected) => {
                // Its queue is empty because it reads no prompts: it is changing its stage, and the
                // host that ordered the change has not announced it, or is gone.
                context.host.record_server_event(server, ServerEvent::Errored);
                let now = context.host.now();
                context.host.state().stage_changes.record_suspicion(now, server.key());
            }
            Ok(ReadEnd::Failed) => {
                context.host.record_server_event(server, ServerEvent::Errored);
                break;
            }
            Ok(ReadEnd::Left) => break,
            Err(error) => {
                context.record_failure(server, &error);
                // Only the time of the request is over: no server is silent after less than the usual time.
                let is_out_of_time = matches!(error, Error::Timeout);
                let event =
                    if is_out_of_time { ServerEvent::OutOfTime } else { ServerEvent::Unresponsive };
                context.host.record_server_event(server, event);
                let (id, contents, server) = (context.id(), context.contents, &server.id);
                log::info!(
                    "event=prompt_unread request={id} contents={contents} server={server} \
                     cause=\"{error}\""
                );
                break;
            }
        }
    }
    leave_to_decode(context)
}

/// Compares prefill servers by their queues. One in another failure domain is chosen if the queue there is shorter by the
/// request's own prompt, since the result, of the size of the prompt, takes twice as long from there.
fn queue_criterion(prompt_tokens: u32) -> RankingCriterion {
    RankingCriterion::PromptQueue((f64::from(prompt_tokens) / REMOTE_DOMAIN_PENALTY) as u32)
}

impl CallContext {
    /// Whether prefill servers lately rejected reads of this host, or did not answer.
    fn rejection_risk(&self) -> RejectionRisk {
        let now = self.host.now();
        let state = self.host.state();
        let is_clear =
            state.read_rejections.get(&self.service).is_none_or(|rate| rate.is_clear(now));
        if is_clear { RejectionRisk::Low } else { RejectionRisk::High }
    }

    fn record_read_outcome(&self, is_rejected: bool) {
        let now = self.host.now();
        let mut state = self.host.state();
        state.read_rejections.entry(self.service).or_default().record(now, is_rejected);
    }
}

/// Leaves a prompt to its decode server, which holds memory for it already, however late it is: the caller still waits. No
/// second prefill server is tried after one that failed, since its answer may get lost as often as the first one's, and
/// its work would be wasted.
fn leave_to_decode(context: &CallContext) -> PromptEnd {
    let (id, age) = (context.id(), context.age().as_millis());
    log::info!("event=prompt_left_to_decode request={id} age_ms={age}");
    PromptEnd::LeftToDecode
}

/// How one server answered a request to read a prompt.
#[derive(Debug)]
enum ReadEnd {
    Read(PrefillResult),
    /// It did not read the prompt.
    Rejected,
    /// Its answer contains no result.
    Failed,
    /// It was silent, and the retry budget lets the decode server read the prompt, or the request has no time left.
    Left,
}

/// Has the prompt read by one server.
async fn read_at(
    context: &CallContext,
    server: &ServerEntry,
    mut permit: SendPermit,
) -> Result<ReadEnd> {
    let tokens = context.head.tokens.prompt;
    let load = ServerLoad { requests: 1, prompt_tokens: tokens, ..ServerLoad::default() };
    let _load = LoadGuard::new(&context.host, server.key(), load);
    context.wait_at(RequestWait::PromptRead, server);
    context.host.record_server_event(server, ServerEvent::Sent);
    let started_at = context.host.now();
    let mut exchange = std::pin::pin!(request_read(context, server, &mut permit));
    let timeout = SILENCE_TIMEOUT.min(context.time_left());
    let read = match tokio::time::timeout(timeout, &mut exchange).await {
        Ok(read) => read?,
        Err(_elapsed) if context.time_left().is_zero() => return Err(Error::Timeout),
        Err(_elapsed) => {
            record_silence(context, server);
            if context.cover_sends(1).await {
                return Ok(ReadEnd::Left);
            }
            // Only this read can still lead to a run, and its server may go on.
            log::info!("event=silent_read_kept request={} server={}", context.id(), server.id);
            match tokio::time::timeout(context.time_left(), exchange).await {
                Ok(read) => read?,
                Err(_elapsed) => return Ok(ReadEnd::Left),
            }
        }
    };
    if matches!(read, ReadEnd::Read(_)) {
        context.host.record_server_event(server, ServerEvent::Served);
        let now = context.host.now();
        let took = now.since(started_at);
        let mut state = context.host.state();
        state.work_meters.entry(context.service).or_default().record_read(now, tokens, took);
        if context.host.settings.features.memory_forecast
            && state.fleet.entry(server.key()).is_some()
        {
            state.paces.record_read(now, (context.service, server.key()), tokens, took);
        }
    }
    Ok(read)
}

/// Records that a server has not answered a read for [`SILENCE_TIMEOUT`]; the read may go on.
fn record_silence(context: &CallContext, server: &ServerEntry) {
    context.host.record_server_event(server, ServerEvent::Unresponsive);
    context.host.pool.record_silence(server.address);
    let (id, contents, server) = (context.id(), context.contents, &server.id);
    log::info!("event=prompt_unread request={id} contents={contents} server={server} cause=silent");
}

async fn request_read(
    context: &CallContext,
    server: &ServerEntry,
    permit: &mut SendPermit,
) -> Result<ReadEnd> {
    // Servers do not check to which request a result belongs: a result taken from another request's
    // answer would be that request's prompt. The answer must therefore carry this request's id.
    let (purpose, part) = (CallPurpose::Read, CallPart::Prefill);
    let (time_left, max_idle) = (context.time_left(), Duration::MAX);
    let response =
        send_request(context, server, purpose, time_left, part, max_idle, permit).await?;
    let kind = read_answer(&response);
    let status = response.status();
    let body = response.into_body();
    // Only complete answers carry a signature; the answer to a prompt that was read has none.
    if status != StatusCode::OK {
        body.read_all().await?;
        let (id, server) = (context.id(), &server.id);
        log::info!(
            "event=prompt_unread request={id} server={server} status={status} kind={kind:?}"
        );
        let rejected = kind == AnswerKind::NotRun;
        return Ok(if rejected { ReadEnd::Rejected } else { ReadEnd::Failed });
    }
    context.record_read_taken_up();
    let result = body.read_with(|bytes| decode_body(bytes)).await?;
    Ok(ReadEnd::Read(result))
}
