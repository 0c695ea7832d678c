//! Holds memory at a decode server before a prompt is read.

use super::call_context::CallContext;
use super::call_end::NotRunReason;
use super::engine_resource::{EngineResource, acquire_hold};
use super::load_guard::LoadGuard;
use super::send_permit::SendPermit;
use super::server_ranking::ServerWish;
use crate::fleet::{ServerEntry, ServerStage};
use crate::keys::ServerKey;
use crate::placement::{ChoiceKind, RoomSearch, RoomStep, ServerLoad, ServerNote};
use crate::platform::TokenCounts;
use crate::routes::EngineSpec;
/// Memory held for a request at a decode server, and its place on the load board.
#[derive(Debug)]
pub(super) struct DecodeReservation {
    pub keep: EngineResource,
    pub load: LoadGuard,
    /// The run may be sent there.
    pub permit: SendPermit,
}

/// Puts a request on the load board.
pub(super) fn decode_load(context: &CallContext, server: &ServerEntry) -> LoadGuard {
    let memory_tokens = context.head.tokens.prompt;
    let load = ServerLoad { requests: 1, memory_tokens, ..ServerLoad::default() };
    LoadGuard::new(&context.host, server.key(), load)
}

/// Tokens that an answer is expected to have: its caller's estimate, or half of what is allowed.
pub(super) fn expected_output(tokens: &TokenCounts) -> u32 {
    tokens.hinted_output.unwrap_or(tokens.most_output / 2).min(tokens.most_output)
}

/// Memory that a request is expected to take in the end: its prompt, and the answer as its caller
/// estimates it.
pub(super) fn needed_tokens(context: &CallContext, engine: &EngineSpec, after: Option<u64>) -> u32 {
    let tokens = &context.head.tokens;
    let made = after.map_or(0, |event| {
        u32::try_from(event + 1).unwrap_or(u32::MAX).saturating_mul(engine.tokens_per_event)
    });
    let output = expected_output(tokens).max(made);
    let whole = tokens.prompt.saturating_add(output).saturating_add(1);
    whole.min(engine.memory_tokens)
}

/// Holds memory at the best decode server that has some, but not where a run was lost.
pub(super) async fn reserve_memory(
    context: &CallContext,
    engine: &EngineSpec,
    after: Option<u64>,
    lost: &[ServerKey],
) -> Result<DecodeReservation, NotRunReason> {
    let tokens = needed_tokens(context, engine, after);
    let near = context.host.domain();
    let mut search = RoomSearch::new(context.host.now(), near);
    loop {
        let choice = ServerWish {
            stage: Some(ServerStage::Decode),
            kind: ChoiceKind::DecodeMemory(engine.memory_tokens),
            near,
            abroad: search.abroad(),
            rank: context.rank,
        };
        // Ranked anew for each step: a server that did not answer took time, in which others may have
        // begun to leave.
        let mut ranked = context.host.ranked(context.service, &choice);
        ranked.retain(|server| !lost.contains(&server.key()));
        if ranked.is_empty() {
            return Err(or_at_limit(context, NotRunReason::NoServer));
        }
        let keys = ranked.iter().map(ServerEntry::key);
        match search.next(context.host.now(), keys) {
            RoomStep::Ask(key) => {
                let Some(server) = ranked.iter().find(|server| server.key() == key) else {
                    continue;
                };
                let Some(permit) = context.permit(server).await else {
                    continue;
                };
                if let Some(room) =
                    request_reservation(context, engine, server, tokens, permit).await
                {
                    return Ok(room);
                }
                search.note_refused(server.domain);
            }
            RoomStep::Pause(pause) => tokio::time::sleep(pause).await,
            RoomStep::Refuse => {
                log_no_room(context, engine, tokens, ranked.len(), &search);
                return Err(or_at_limit(context, NotRunReason::NoMemory));
            }
        }
    }
}

/// Why no server was found: a server that has a limit may take the request before another one has room.
fn or_at_limit(context: &CallContext, reason: NotRunReason) -> NotRunReason {
    let is_limited = context.is_limited_out(Some(ServerStage::Decode));
    if is_limited { NotRunReason::ServersAtLimit } else { reason }
}

/// What a refusal for want of memory was decided from: what was asked for, of how many servers, and
/// the mean that is known to be used at one of them (by this host and, as last heard, the others).
fn log_no_room(
    context: &CallContext,
    engine: &EngineSpec,
    tokens: u32,
    servers: usize,
    search: &RoomSearch,
) {
    let state = context.host.state();
    let decodes = state.fleet.ready_at(context.service, ServerStage::Decode);
    let used: u64 =
        decodes.map(|server| u64::from(state.board.total(server.key()).memory_tokens)).sum();
    log::info!(
        "event=no_room request={} tokens={tokens} servers={servers} asked={} mean_used={} \
         memory={}",
        context.id(),
        search.asked(),
        used / (servers as u64).max(1),
        engine.memory_tokens
    );
}

async fn request_reservation(
    context: &CallContext,
    engine: &EngineSpec,
    server: &ServerEntry,
    tokens: u32,
    permit: SendPermit,
) -> Option<DecodeReservation> {
    let load = decode_load(context, server);
    context.host.note_server(server, ServerNote::Sent);
    let held = acquire_hold(&context.host, server, tokens, engine.max_hold).await;
    if held.is_ok() {
        context.host.note_server(server, ServerNote::Answered);
    }
    match held {
        Ok(Some(keep)) => Some(DecodeReservation { keep, load, permit }),
        Ok(None) => None,
        Err(error) => {
            context.host.note_server(server, ServerNote::Silent);
            let (id, server) = (context.id(), &server.id);
            log::info!("event=hold_failed request={id} server={server} cause=\"{error}\"");
            None
        }
    }
}
