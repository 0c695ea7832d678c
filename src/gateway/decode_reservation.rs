//! Reserves memory at a decode server before a prompt is read.

use super::call_context::CallContext;
use super::call_end::NotRunReason;
use super::engine_resource::{EngineResource, acquire_hold};
use super::hold_forecast::{generated_tokens, hold_tokens};
use super::load_guard::LoadGuard;
use super::memory_admission::MemoryAdmission;
use super::memory_guard::MemoryGuard;
use super::run_start::RunRecord;
use super::send_permit::SendPermit;
use super::server_ranking::ServerCriteria;
use crate::fleet::{ServerEntry, ServerStage};
use crate::in_flight::RequestWait;
use crate::keys::ServerKey;
use crate::placement::{
    MemorySearch, RankingCriterion, SearchStep, ServerEvent, ServerLoad, WorkMeter, memory_wait,
};
use crate::platform::TokenCounts;
use crate::routes::EngineSpec;
use crate::stream_origins::RunVersion;
use std::time::Duration;

/// Memory reserved for a request at a decode server, and its entry in the load table.
#[derive(Debug)]
pub(super) struct DecodeReservation {
    pub hold: EngineResource,
    pub load: LoadGuard,
    /// Counts its memory in the figures for other hosts until the run ends.
    pub memory: Option<MemoryGuard>,
    /// Permission to send the run there.
    pub permit: SendPermit,
}

/// Adds a request to the load table.
pub(super) fn decode_load(context: &CallContext, server: &ServerEntry) -> LoadGuard {
    let memory_tokens = context.head.tokens.prompt;
    let load = ServerLoad { requests: 1, memory_tokens, ..ServerLoad::default() };
    LoadGuard::new(&context.host, server.key(), load)
}

/// Tokens that an answer is expected to have: its caller's estimate, or half of the allowed maximum.
pub(super) fn expected_output(tokens: &TokenCounts) -> u32 {
    tokens.output_hint.unwrap_or(tokens.max_output / 2).min(tokens.max_output)
}

/// Memory that a request is expected to need in the end: its prompt, and the answer as its caller
/// estimates it.
pub(super) fn needed_tokens(context: &CallContext, engine: &EngineSpec, after: Option<u64>) -> u32 {
    let tokens = &context.head.tokens;
    let output = expected_output(tokens).max(generated_tokens(engine, after));
    let total = tokens.prompt.saturating_add(output).saturating_add(1);
    total.min(engine.memory_tokens)
}

/// Reserves memory at the best decode server that has some, except at the servers that lost a run of the request, at
/// those that are silent, and at those of a version at which it must not run.
pub(super) async fn reserve_memory(
    context: &CallContext,
    engine: &EngineSpec,
    after: Option<u64>,
    runs: &RunRecord,
) -> Result<DecodeReservation, NotRunReason> {
    context.wait_for(RequestWait::Memory);
    let tokens = hold_tokens(context, engine, after);
    let admit = || {
        let admission = MemoryAdmission::decide(context, tokens, after);
        admission.ok_or(NotRunReason::NoMemory)
    };
    let mut admission = admit()?;
    let local_domain = context.host.domain();
    let searched_from = context.host.now();
    let mut search = MemorySearch::new(local_domain);
    loop {
        if context.time_left().is_zero() {
            return Err(NotRunReason::OutOfTime);
        }
        let criteria = ServerCriteria {
            stage: Some(ServerStage::Decode),
            criterion: RankingCriterion::DecodeMemory(engine.memory_tokens),
            local_domain,
            remote_penalty: search.remote_penalty(),
            rank: context.rank,
            is_repeatable: context.route.is_retryable(),
            version: runs.version,
        };
        // The servers are ranked again for each step: one that did not answer took time, in which
        // others may have started draining.
        let mut ranked = context.host.rank_ready_servers(context.service, &criteria);
        ranked.retain(|server| runs.admits(server.key()));
        if ranked.is_empty() {
            context.log_no_server(Some(ServerStage::Decode), search.request_count());
            let reason = match runs.version {
                RunVersion::Any => NotRunReason::NoServer,
                RunVersion::Only(_) => NotRunReason::NoServerOfVersion,
            };
            return Err(prefer_at_limit(context, reason));
        }
        admission.order(&mut ranked);
        let keys = || ranked.iter().map(ServerEntry::key);
        match search.next(context.memory_wait(keys()), keys()) {
            SearchStep::Request(key) => {
                let Some(server) = ranked.iter().find(|server| server.key() == key) else {
                    continue;
                };
                let Some(permit) = context.permit(server).await else {
                    continue;
                };
                if let Some(reservation) =
                    request_reservation(context, engine, server, tokens, permit).await
                {
                    let memory = admission.record_granted(context);
                    return Ok(DecodeReservation { memory, ..reservation });
                }
                search.record_refusal(server.domain);
            }
            SearchStep::Pause(pause) => tokio::time::sleep(pause).await,
            SearchStep::Refuse => {
                if admission.wait_to_search_again(context, searched_from, &ranked).await {
                    admission = admit()?;
                    search = MemorySearch::new(local_domain);
                    continue;
                }
                admission.record_refused(context);
                log_no_memory(context, engine, tokens, ranked.len(), &search);
                if let Some(server) = admission.preempted_server(context, &ranked)
                    && let Some(reservation) = reserve_nothing(context, &admission, server).await
                {
                    return Ok(reservation);
                }
                return Err(prefer_at_limit(context, NotRunReason::NoMemory));
            }
        }
    }
}

impl CallContext {
    /// How long the request waits until one of `servers` has memory for it.
    pub(super) fn memory_wait(&self, servers: impl Iterator<Item = ServerKey>) -> Duration {
        let state = self.host.state();
        let run_time = state.work_meters.get(&self.service).and_then(WorkMeter::run_time);
        let runs = servers.map(|server| state.server_loads.total(server).requests);
        let (runs, count) = runs.fold((0_u32, 0), |(sum, count), runs| (sum + runs, count + 1));
        memory_wait(run_time, runs, count, self.time_left())
    }
}

/// Why no server was found. A server at its limit is reported first: it may accept the request before another one
/// has memory.
fn prefer_at_limit(context: &CallContext, reason: NotRunReason) -> NotRunReason {
    let is_limited = context.is_blocked_by_limits(Some(ServerStage::Decode));
    if is_limited { NotRunReason::ServersAtLimit } else { reason }
}

/// Logs what a refusal for lack of memory is based on: the tokens requested, the number of servers, and the mean
/// memory known to be in use per server (by this host and, as last received, by the others).
fn log_no_memory(
    context: &CallContext,
    engine: &EngineSpec,
    tokens: u32,
    servers: usize,
    search: &MemorySearch,
) {
    let state = context.host.state();
    let decodes = state.fleet.ready_in_stage(context.service, ServerStage::Decode);
    let used: u64 =
        decodes.map(|server| u64::from(state.server_loads.total(server.key()).memory_tokens)).sum();
    log::info!(
        "event=no_room request={} tokens={tokens} servers={servers} asked={} mean_used={} \
         memory={}",
        context.id(),
        search.request_count(),
        used / (servers as u64).max(1),
        engine.memory_tokens
    );
}

/// Chooses `server` for a run without a hold. The engine preempts a less urgent run for it, whose prompt must be read
/// again and which usually exceeds its pause limit; so this is done only for urgent requests that found no memory
/// anywhere.
async fn reserve_nothing(
    context: &CallContext,
    admission: &MemoryAdmission,
    server: &ServerEntry,
) -> Option<DecodeReservation> {
    let permit = context.permit(server).await?;
    let load = decode_load(context, server);
    log::info!("event=sent_without_hold request={} server={}", context.id(), server.id);
    context.host.metrics().add("sent_without_hold", 1);
    let hold = EngineResource::none(&context.host, server.clone());
    let memory = admission.begin_use(context);
    Some(DecodeReservation { hold, load, memory, permit })
}

async fn request_reservation(
    context: &CallContext,
    engine: &EngineSpec,
    server: &ServerEntry,
    tokens: u32,
    permit: SendPermit,
) -> Option<DecodeReservation> {
    let load = decode_load(context, server);
    context.host.record_server_event(server, ServerEvent::Sent);
    let hold = acquire_hold(&context.host, server, tokens, engine.max_hold).await;
    if hold.is_ok() {
        context.host.record_server_event(server, ServerEvent::Answered);
    }
    match hold {
        Ok(Some(hold)) => Some(DecodeReservation { hold, load, memory: None, permit }),
        Ok(None) => None,
        Err(error) => {
            context.host.record_server_event(server, ServerEvent::Unresponsive);
            let (id, server) = (context.id(), &server.id);
            log::info!("event=hold_failed request={id} server={server} cause=\"{error}\"");
            None
        }
    }
}
