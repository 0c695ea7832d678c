//! Waits for the first event of a run.

use super::call_context::CallContext;
use super::pending_run::{OpenRun, PendingRun};
use super::run_start::{FIRST_EVENT_TIMEOUT, NO_FIRST_EVENT, OpenFailure, RunRecord};
use super::silent_run::{RaceEnd, SilentRun, run_beside};
use crate::placement::ServerEvent;
use crate::routes::EngineSpec;

/// Waits for the first event of a run. Where its server is silent, another run may be opened beside it.
pub(super) async fn await_first_event(
    context: &CallContext,
    engine: &EngineSpec,
    after: Option<u64>,
    mut pending: PendingRun<'_>,
    runs: &mut RunRecord,
) -> Result<OpenRun, OpenFailure> {
    let time_left = context.time_left();
    let may_be_kept = context.route.is_retryable() && FIRST_EVENT_TIMEOUT < time_left;
    let timeout = if may_be_kept { FIRST_EVENT_TIMEOUT } else { time_left };
    if let Ok(started) = tokio::time::timeout(timeout, pending.first_event()).await {
        return pending.finish(runs, started);
    }
    if !may_be_kept {
        return pending.give_up(runs, NO_FIRST_EVENT);
    }
    let server = pending.server.clone();
    context.host.record_server_event(&server, ServerEvent::Unresponsive);
    context.host.pool.record_silence(server.address);
    let silent = SilentRun { server: &server, since: pending.marks.sent_at, events: 0 };
    let race = run_beside(context, engine, after, silent, runs, pending.first_event());
    match tokio::time::timeout(context.time_left(), race).await {
        Ok(RaceEnd::Kept(started)) => pending.finish(runs, started),
        Ok(RaceEnd::Further(run)) => {
            // It may have run until its connection was closed.
            runs.may_have_run = true;
            Ok(*run)
        }
        Err(_elapsed) => pending.give_up(runs, NO_FIRST_EVENT),
    }
}
