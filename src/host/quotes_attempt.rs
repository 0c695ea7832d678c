//! Runs one attempt that the owners place: quotes, a held slot, a granted start, then the work.

use super::CompletionRequest;
use super::attempt_guard::{AttemptGuard, ServerLocation};
use super::completion_run::{AnswerState, AttemptEnd};
use super::decode_phase::{PrefillResult, run_decode};
use super::handoff::choose_handoff;
use super::host_state::{HostState, micros};
use super::place_request::{build_place_request, locate_pair, rank_offers, summarise_refusals};
use super::prefill_phase::run_prefill;
use crate::keys::AttemptId;
use crate::peers::{HoldRequest, PlaceRequest, StartReply};
use crate::placement::{PairChoice, PlacementPolicy};
use std::sync::Arc;
use std::time::Duration;

/// Pairs that an attempt tries before the request is refused.
const MAX_PAIRS: usize = 3;
/// How long before its slot is free a delayed prefill should finish, since engine speeds vary.
const EARLY_FINISH_MICROS: u64 = 40_000;
/// Time after which a stalled transfer is rerouted, so that the prefill result is used before it
/// expires.
const MOVE_AFTER: Duration = Duration::from_millis(350);
const PREFILL_SLACK: Duration = Duration::from_millis(400);

/// Makes one attempt at the request.
pub(super) async fn attempt_by_quotes(
    host: &Arc<HostState>,
    request: &CompletionRequest,
    answer: &mut AnswerState,
) -> AttemptEnd {
    let started_at = host.now();
    let config = host.config();
    let attempt = host.new_attempt();
    let mut placement = build_place_request(host, &config, request, answer, attempt);
    let finish_in_micros = placement.finish_in_micros;
    let offers = tokio::select! {
        offers = host.request_quotes(&config, &placement) => offers,
        () = answer.sink.closed() => return AttemptEnd::CallerLeft,
    };
    let pairs = rank_offers(&config, &offers, &placement);
    host.record_span(
        request.trace,
        "quote",
        started_at,
        format!(
            "attempt={attempt} prefills={} decodes={} refusals={} pairs={}",
            offers.prefills.len(),
            offers.decodes.len(),
            offers.refusals.len(),
            pairs.len()
        ),
    );
    let mut guard = AttemptGuard::new(host, attempt, request.max_tokens, true);
    for pair in pairs.iter().take(MAX_PAIRS) {
        let Some(servers) = locate_pair(&config, pair) else { continue };
        let spent = micros(host.now().since(started_at));
        placement.finish_in_micros = finish_in_micros.saturating_sub(spent);
        if pair.prefill.work_micros > placement.finish_in_micros {
            break;
        }
        match start_pair(host, request, answer, &mut guard, &mut placement, pair, servers).await {
            PairStart::Started(work) => {
                return run_pair(host, request, answer, guard, attempt, servers, work).await;
            }
            PairStart::Refused => {}
            PairStart::CallerLeft => return AttemptEnd::CallerLeft,
        }
    }
    let (reason, retry_micros) = summarise_refusals(&offers);
    AttemptEnd::Refused { reason, retry_after: Duration::from_micros(retry_micros) }
}

/// Outcome of reserving a pair of servers.
enum PairStart {
    /// The prefill may start; its expected duration.
    Started(Duration),
    /// One of the owners no longer has capacity.
    Refused,
    /// The caller closed the connection.
    CallerLeft,
}

/// Holds the decode slot, then queues at the prefill server's owner until the prefill may start.
async fn start_pair(
    host: &Arc<HostState>,
    request: &CompletionRequest,
    answer: &AnswerState,
    guard: &mut AttemptGuard,
    placement: &mut PlaceRequest,
    pair: &PairChoice,
    (prefill, decode): (ServerLocation, ServerLocation),
) -> PairStart {
    if host.settings.policy == PlacementPolicy::Reserve {
        let Some(handoff_micros) = hold(host, request, guard, placement, pair, decode).await else {
            return PairStart::Refused;
        };
        let lead = pair.prefill.work_micros + EARLY_FINISH_MICROS;
        placement.not_before_in_micros = handoff_micros.saturating_sub(lead);
    }
    let waiting_since = host.now();
    let limit = Duration::from_micros(placement.finish_in_micros);
    let reply = tokio::select! {
        reply = host.enqueue(prefill.key, prefill.domain, placement, limit) => reply,
        () = answer.sink.closed() => return PairStart::CallerLeft,
    };
    let StartReply::Start { work_micros } = reply else {
        guard.release_decode();
        return PairStart::Refused;
    };
    let waited = host.now().since(waiting_since);
    host.metrics().record_duration(
        "queue_seconds",
        &request.class.name,
        &request.organisation,
        waited,
    );
    host.record_span(request.trace, "queue", waiting_since, format!("work_us={work_micros}"));
    // Without a reservation, the slot is only requested when the prefill has ended.
    guard.hold_decode(decode);
    PairStart::Started(Duration::from_micros(work_micros))
}

/// Runs prefill and decode on a reserved pair; reroutes the handoff once if its transfer stalls.
async fn run_pair(
    host: &Arc<HostState>,
    request: &CompletionRequest,
    answer: &mut AnswerState,
    mut guard: AttemptGuard,
    attempt: AttemptId,
    (prefill, decode): (ServerLocation, ServerLocation),
    work: Duration,
) -> AttemptEnd {
    let limit = work * 2 + PREFILL_SLACK;
    let reply = match run_prefill(host, request, answer, &mut guard, attempt, prefill, limit).await
    {
        Ok(reply) => reply,
        Err(end) => return end,
    };
    let reserve = host.settings.policy == PlacementPolicy::Reserve;
    let mut result = PrefillResult {
        source: prefill.address,
        handle: reply.handle,
        work: Duration::from_micros(reply.took_micros),
        kv_bytes: reply.kv_bytes,
        move_after: reserve.then_some(MOVE_AFTER),
    };
    if !reserve {
        return run_decode(host, request, answer, &mut guard, attempt, decode, result).await;
    }
    let decode = choose_handoff(host, request, &mut guard, attempt, decode, reply.kv_bytes).await;
    let end = run_decode(host, request, answer, &mut guard, attempt, decode, result).await;
    let AttemptEnd::Moved(mut moved) = end else { return end };
    drop(guard);
    host.metrics().add("handoffs_rerouted", 1);
    result.move_after = None;
    run_decode(host, request, answer, &mut moved.guard, moved.attempt, moved.server, result).await
}

/// Holds the pair's decode slot; returns the microseconds until its handoff.
async fn hold(
    host: &Arc<HostState>,
    request: &CompletionRequest,
    guard: &mut AttemptGuard,
    placement: &PlaceRequest,
    pair: &PairChoice,
    decode: ServerLocation,
) -> Option<u64> {
    let hold = HoldRequest {
        server: decode.key,
        attempt: placement.attempt,
        earliest_in_micros: pair.handoff_in_micros,
        latest_in_micros: placement.finish_in_micros,
        kv_bytes: placement.kv_bytes,
        max_tokens: request.max_tokens,
    };
    let handoff_micros = host.hold_slot(decode.domain, hold).await.ok()?;
    guard.hold_decode(decode);
    Some(handoff_micros)
}
