//! Where a finished prefill's result goes when its slot is not free or its transfer stalls.

use super::CompletionAsk;
use super::attempt_guard::{AttemptGuard, UsedServer};
use super::completion_run::MovedHold;
use super::host_state::{HostState, micros};
use super::place_request::{CANDIDATES, used};
use crate::intents::{ServerRole, ServerSpec};
use crate::keys::AttemptId;
use crate::peers::HoldRequest;
use crate::placement::RefusalReason;
use std::sync::Arc;
use std::time::Duration;

/// A handoff that waits no longer than this for its slot stays where it is.
const SHORT_SLOT_WAIT: Duration = Duration::from_millis(60);
const LONGEST_SLOT_WAIT: Duration = Duration::from_millis(1000);

/// Looks once more where a slot is free now that the prefill is done: streams may have run longer
/// than expected. Moves the hold within the failure domain if another server is free earlier.
pub(super) async fn choose_handoff(
    host: &Arc<HostState>,
    ask: &CompletionAsk,
    guard: &mut AttemptGuard,
    attempt: AttemptId,
    held: UsedServer,
    kv_bytes: u64,
) -> UsedServer {
    let wait = hold_now(host, ask, attempt, held, kv_bytes, LONGEST_SLOT_WAIT).await;
    if wait.is_ok_and(|wait| wait <= micros(SHORT_SLOT_WAIT)) {
        return held;
    }
    let Some(other) = hold_elsewhere(host, ask, attempt, held, kv_bytes).await else {
        return held;
    };
    guard.drop_decode();
    guard.hold_decode(other);
    host.metrics().add("handoffs_moved", 1);
    other
}

/// Holds a slot for a handoff that is due, waiting for it at most `latest`.
async fn hold_now(
    host: &Arc<HostState>,
    ask: &CompletionAsk,
    attempt: AttemptId,
    server: UsedServer,
    kv_bytes: u64,
    latest: Duration,
) -> Result<u64, RefusalReason> {
    let hold = HoldRequest {
        server: server.key,
        attempt,
        earliest_in_micros: 0,
        latest_in_micros: micros(latest),
        kv_bytes,
        max_tokens: ask.max_tokens,
    };
    host.hold_slot(server.domain, hold).await
}

/// Holds a slot that is free now on another server of the domain; none if all are full.
async fn hold_elsewhere(
    host: &Arc<HostState>,
    ask: &CompletionAsk,
    attempt: AttemptId,
    from: UsedServer,
    kv_bytes: u64,
) -> Option<UsedServer> {
    for server in others(host, ask, from) {
        let held = hold_now(host, ask, attempt, server, kv_bytes, SHORT_SLOT_WAIT).await;
        if held.is_ok() {
            return Some(server);
        }
    }
    None
}

/// Other decode servers of the same domain that serve the model.
fn others(host: &HostState, ask: &CompletionAsk, held: UsedServer) -> Vec<UsedServer> {
    let config = host.config();
    let serves = |server: &&ServerSpec| {
        server.role == ServerRole::Decode
            && !server.leaving
            && server.domain_key() == held.domain
            && server.key() != held.key
            && server.models.contains(&ask.model.name)
    };
    let serving = config.servers.iter().filter(serves).take(CANDIDATES);
    serving.filter_map(|server| used(&config, server.key())).collect()
}

/// Holds a slot elsewhere in the domain for a handoff whose transfer stalls; none if all are full.
pub(super) async fn move_handoff(
    host: &Arc<HostState>,
    ask: &CompletionAsk,
    stalled: UsedServer,
    kv_bytes: u64,
) -> Option<MovedHold> {
    let attempt = host.new_attempt();
    let server = hold_elsewhere(host, ask, attempt, stalled, kv_bytes).await?;
    let mut guard = AttemptGuard::new(host, attempt, ask.max_tokens, true);
    guard.hold_decode(server);
    Some(MovedHold { attempt, guard, server })
}
