//! Chooses another decode server for a finished prefill when its slot is not free or its transfer
//! stalls.

use super::CompletionRequest;
use super::attempt_guard::{AttemptGuard, ServerLocation};
use super::completion_run::MovedHold;
use super::host_state::{HostState, micros};
use super::place_request::{MAX_CANDIDATES, locate_server};
use crate::intents::{ServerRole, ServerSpec};
use crate::keys::AttemptId;
use crate::peers::HoldRequest;
use crate::placement::RefusalReason;
use std::sync::Arc;
use std::time::Duration;

/// A handoff whose slot is free within this time keeps its server.
const SHORT_SLOT_WAIT: Duration = Duration::from_millis(60);
const MAX_SLOT_WAIT: Duration = Duration::from_millis(1000);

/// Checks again, after the prefill, whether the held slot is free: streams may have run longer than
/// expected. If it is not, moves the hold to a free server of the same failure domain, if there is
/// one.
pub(super) async fn choose_handoff(
    host: &Arc<HostState>,
    request: &CompletionRequest,
    guard: &mut AttemptGuard,
    attempt: AttemptId,
    held: ServerLocation,
    kv_bytes: u64,
) -> ServerLocation {
    let wait = hold_now(host, request, attempt, held, kv_bytes, MAX_SLOT_WAIT).await;
    if wait.is_ok_and(|wait| wait <= micros(SHORT_SLOT_WAIT)) {
        return held;
    }
    let Some(other) = hold_elsewhere(host, request, attempt, held, kv_bytes).await else {
        return held;
    };
    guard.release_decode();
    guard.hold_decode(other);
    host.metrics().add("handoffs_moved", 1);
    other
}

/// Holds a slot for an immediate handoff that may wait up to `latest` for it.
async fn hold_now(
    host: &Arc<HostState>,
    request: &CompletionRequest,
    attempt: AttemptId,
    server: ServerLocation,
    kv_bytes: u64,
    latest: Duration,
) -> Result<u64, RefusalReason> {
    let hold = HoldRequest {
        server: server.key,
        attempt,
        earliest_in_micros: 0,
        latest_in_micros: micros(latest),
        kv_bytes,
        max_tokens: request.max_tokens,
    };
    host.hold_slot(server.domain, hold).await
}

/// Holds a free slot on another server of the domain, if there is one.
async fn hold_elsewhere(
    host: &Arc<HostState>,
    request: &CompletionRequest,
    attempt: AttemptId,
    from: ServerLocation,
    kv_bytes: u64,
) -> Option<ServerLocation> {
    for server in other_servers(host, request, from) {
        let held = hold_now(host, request, attempt, server, kv_bytes, SHORT_SLOT_WAIT).await;
        if held.is_ok() {
            return Some(server);
        }
    }
    None
}

/// Other decode servers of the same domain that serve the model.
fn other_servers(
    host: &HostState,
    request: &CompletionRequest,
    held: ServerLocation,
) -> Vec<ServerLocation> {
    let config = host.config();
    let serves = |server: &&ServerSpec| {
        server.role == ServerRole::Decode
            && !server.leaving
            && server.domain_key() == held.domain
            && server.key() != held.key
            && server.models.contains(&request.model.name)
    };
    let serving = config.servers.iter().filter(serves).take(MAX_CANDIDATES);
    serving.filter_map(|server| locate_server(&config, server.key())).collect()
}

/// Holds a slot elsewhere in the domain for a handoff whose transfer stalls, if there is a free
/// one.
pub(super) async fn move_handoff(
    host: &Arc<HostState>,
    request: &CompletionRequest,
    stalled: ServerLocation,
    kv_bytes: u64,
) -> Option<MovedHold> {
    let attempt = host.new_attempt();
    let server = hold_elsewhere(host, request, attempt, stalled, kv_bytes).await?;
    let mut guard = AttemptGuard::new(host, attempt, request.max_tokens, true);
    guard.hold_decode(server);
    Some(MovedHold { attempt, guard, server })
}
