//! Sends a run to a decode server: reserves memory there and has the prompt read first.

use super::call_context::CallContext;
use super::call_end::NotRunReason;
use super::decode_reservation::{DecodeReservation, decode_load, reserve_memory};
use super::engine_resource::{EngineResource, acquire_hold};
use super::hold_forecast::hold_tokens;
use super::memory_admission::memory_guard;
use super::pending_run::PendingRun;
use super::prompt_read::{PromptEnd, read_prompt};
use super::run_start::{OpenFailure, RunRecord};
use crate::fleet::ServerEntry;
use crate::routes::EngineSpec;
use std::time::Duration;

/// A draining server still receives a request whose memory it has held for no longer than this:
/// it keeps serving for 2 s after it announced that it drains.
const DRAINING_SLACK: Duration = Duration::from_millis(1000);

/// Reserves memory, has the prompt read and sends the request to run after the event `after`.
pub(super) async fn send_at_best<'a>(
    context: &'a CallContext,
    engine: &EngineSpec,
    after: Option<u64>,
    runs: &mut RunRecord,
) -> Result<PendingRun<'a>, OpenFailure> {
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
    let permit = reservation.permit.renewed(context, &server).await.ok_or_else(at_limit)?;
    let reservation = DecodeReservation { permit, ..reservation };
    // A read that was rejected has used up what covered the run.
    if !context.cover_sends(1).await {
        return Err(OpenFailure::NotRun(NotRunReason::RetryBudget));
    }
    Ok(PendingRun::send(context, reservation, prompt, after, runs))
}

/// Sends a request that was rejected with its prompt's result to the same server again, which then
/// reads the prompt itself, if the caller still has time.
pub(super) async fn send_rejected<'a>(
    context: &'a CallContext,
    engine: &EngineSpec,
    after: Option<u64>,
    server: &ServerEntry,
    runs: &mut RunRecord,
) -> Result<PendingRun<'a>, OpenFailure> {
    let rejected = || OpenFailure::Rejected(Box::new(server.clone()));
    let restarted = context.host.has_restarted(server);
    if context.time_left().is_zero() || restarted || context.is_known_held_back(runs.sent) {
        return Err(rejected());
    }
    if !context.cover_sends(1).await {
        return Err(rejected());
    }
    let tokens = hold_tokens(context, engine, after);
    let permit = context.permit(server).await.ok_or_else(at_limit)?;
    let hold = acquire_hold(&context.host, server, tokens, engine.max_hold).await;
    let Ok(Some(hold)) = hold else {
        return Err(rejected());
    };
    let load = decode_load(context, server);
    let memory = memory_guard(context, tokens, after);
    let reservation = DecodeReservation { hold, load, memory, permit };
    Ok(PendingRun::send(context, reservation, None, after, runs))
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
