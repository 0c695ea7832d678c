//! Runs one attempt placed by delayed load reports alone, as a balancer without ledgers does. Only
//! the baseline policies use it.

use super::CompletionRequest;
use super::attempt_guard::AttemptGuard;
use super::completion_run::{AnswerState, AttemptEnd};
use super::decode_phase::{PrefillResult, run_decode};
use super::host_state::{HostState, lock};
use super::place_request::{locate_server, prompt_tokens};
use super::prefill_phase::run_prefill;
use crate::intents::{ClusterConfig, ServerRole, ServerSpec};
use crate::keys::ServerKey;
use crate::placement::PlacementPolicy;
use std::sync::Arc;
use std::time::Duration;

const PREFILL_TIMEOUT: Duration = Duration::from_secs(10);

/// Makes one attempt at the request.
pub(super) async fn attempt_by_reports(
    host: &Arc<HostState>,
    request: &CompletionRequest,
    answer: &mut AnswerState,
) -> AttemptEnd {
    let config = host.config();
    let policy = host.settings.policy;
    let pick = |role| {
        let servers = serving(&config, role, &request.model.name);
        let key = lock(&host.reports).pick(policy, &servers, rand::random())?;
        locate_server(&config, key)
    };
    let (Some(prefill), Some(decode)) = (pick(ServerRole::Prefill), pick(ServerRole::Decode))
    else {
        let retry_after = Duration::from_secs(1);
        return AttemptEnd::Refused { reason: "no_server", retry_after };
    };
    let refusal = refusal_delay(host, &config, request, answer, prefill.key, decode.key);
    if policy == PlacementPolicy::BestOfTwoRefuse
        && let Some(retry_after) = refusal
    {
        return AttemptEnd::Refused { reason: "too_late", retry_after };
    }
    let attempt = host.new_attempt();
    let mut guard = AttemptGuard::new(host, attempt, request.max_tokens, false);
    let limit = PREFILL_TIMEOUT;
    let prefilled = run_prefill(host, request, answer, &mut guard, attempt, prefill, limit).await;
    let reply = match prefilled {
        Ok(reply) => reply,
        Err(end) => return end,
    };
    guard.hold_decode(decode);
    let result = PrefillResult {
        source: prefill.address,
        handle: reply.handle,
        work: Duration::from_micros(reply.took_micros),
        kv_bytes: reply.kv_bytes,
        move_after: None,
    };
    run_decode(host, request, answer, &mut guard, attempt, decode, result).await
}

/// Servers of a role that serve the model and are not leaving.
fn serving(config: &ClusterConfig, role: ServerRole, model: &str) -> Vec<ServerKey> {
    let serves = |server: &&ServerSpec| {
        server.role == role && !server.leaving && server.models.iter().any(|held| held == model)
    };
    config.servers.iter().filter(serves).map(ServerSpec::key).collect()
}

/// Delay before a retry, if the delayed reports show that the target cannot be met.
fn refusal_delay(
    host: &HostState,
    config: &ClusterConfig,
    request: &CompletionRequest,
    answer: &AnswerState,
    prefill: ServerKey,
    decode: ServerKey,
) -> Option<Duration> {
    let reports = lock(&host.reports);
    let backlog = reports.report(prefill).map_or(Duration::ZERO, |report| report.backlog);
    let rate = config.server(prefill).map_or(1, |server| server.prefill_tokens_per_second);
    let work = Duration::from_secs_f64(f64::from(prompt_tokens(&request.prompt)) / f64::from(rate));
    let full = reports.report(decode).is_some_and(|report| report.requests >= report.capacity);
    let remaining = answer.deadline.since(host.now());
    (backlog + work > remaining || full).then(|| backlog.max(Duration::from_millis(500)))
}
