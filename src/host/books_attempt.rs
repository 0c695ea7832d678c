//! One attempt placed by the books: quotes, a held slot, a granted start, then the work.

use super::CompletionAsk;
use super::attempt_guard::{AttemptGuard, UsedServer};
use super::completion_run::{AnswerState, AttemptEnd};
use super::decode_leg::{PrefillResult, run_decode};
use super::handoff::choose_handoff;
use super::host_state::{HostState, micros};
use super::place_request::{choose, place_ask, used_pair, why_refused};
use super::prefill_leg::run_prefill;
use crate::keys::AttemptId;
use crate::peers::{HoldRequest, PlaceRequest, StartReply};
use crate::placement::{PairChoice, PlacementPolicy};
use std::sync::Arc;
use std::time::Duration;

/// Pairs tried before the request is refused.
const PAIRS_TRIED: usize = 3;
/// A delayed prefill is to finish this much before its slot is free, since engines vary.
const EARLY_MICROS: u64 = 40_000;
/// A transfer that has not arrived by then is moved, so that the result is used within its life.
const MOVE_AFTER: Duration = Duration::from_millis(350);
const PREFILL_SLACK: Duration = Duration::from_millis(400);

/// Makes one attempt.
pub(super) async fn attempt_by_books(
    host: &Arc<HostState>,
    ask: &CompletionAsk,
    answer: &mut AnswerState,
) -> AttemptEnd {
    let began = host.now();
    let config = host.config();
    let attempt = host.new_attempt();
    let mut place = place_ask(host, &config, ask, answer, attempt);
    let finish_in_micros = place.finish_in_micros;
    let offers = tokio::select! {
        offers = host.ask_quotes(&config, &place) => offers,
        () = answer.sink.closed() => return AttemptEnd::CallerLeft,
    };
    let pairs = choose(&config, &offers, &place);
    host.note_span(
        ask.trace,
        "quote",
        began,
        format!(
            "attempt={attempt} prefills={} decodes={} refusals={} pairs={}",
            offers.prefills.len(),
            offers.decodes.len(),
            offers.refusals.len(),
            pairs.len()
        ),
    );
    let mut guard = AttemptGuard::new(host, attempt, ask.max_tokens, true);
    for pair in pairs.iter().take(PAIRS_TRIED) {
        let Some(servers) = used_pair(&config, pair) else { continue };
        let spent = micros(host.now().since(began));
        place.finish_in_micros = finish_in_micros.saturating_sub(spent);
        if pair.prefill.work_micros > place.finish_in_micros {
            break;
        }
        match start_pair(host, ask, answer, &mut guard, &mut place, pair, servers).await {
            PairStart::Started(work) => {
                return run_pair(host, ask, answer, guard, attempt, servers, work).await;
            }
            PairStart::Refused => {}
            PairStart::CallerLeft => return AttemptEnd::CallerLeft,
        }
    }
    let (reason, again) = why_refused(&offers);
    AttemptEnd::Refused { reason, retry_after: Duration::from_micros(again) }
}

/// What became of a pair that was asked for.
enum PairStart {
    /// The prefill may start; the work that it is expected to cost.
    Started(Duration),
    /// One of the owners has no room any more.
    Refused,
    /// The caller left.
    CallerLeft,
}

/// Holds the decode slot, then waits at the prefill owner until the engine is ready.
async fn start_pair(
    host: &Arc<HostState>,
    ask: &CompletionAsk,
    answer: &AnswerState,
    guard: &mut AttemptGuard,
    place: &mut PlaceRequest,
    pair: &PairChoice,
    (prefill, decode): (UsedServer, UsedServer),
) -> PairStart {
    if host.settings.policy == PlacementPolicy::Reserve {
        let Some(handoff) = hold(host, ask, guard, place, pair, decode).await else {
            return PairStart::Refused;
        };
        let lead = pair.prefill.work_micros + EARLY_MICROS;
        place.not_before_in_micros = handoff.saturating_sub(lead);
    }
    let waiting_since = host.now();
    let limit = Duration::from_micros(place.finish_in_micros);
    let started = tokio::select! {
        started = host.enqueue(prefill.key, prefill.domain, place, limit) => started,
        () = answer.sink.closed() => return PairStart::CallerLeft,
    };
    let StartReply::Start { work_micros } = started else {
        guard.drop_decode();
        return PairStart::Refused;
    };
    let waited = host.now().since(waiting_since);
    host.metrics().record_duration("queue_seconds", &ask.class.name, &ask.organisation, waited);
    host.note_span(ask.trace, "queue", waiting_since, format!("work_us={work_micros}"));
    // Without a reservation the slot is first asked for when the prefill has ended.
    guard.hold_decode(decode);
    PairStart::Started(Duration::from_micros(work_micros))
}

async fn run_pair(
    host: &Arc<HostState>,
    ask: &CompletionAsk,
    answer: &mut AnswerState,
    mut guard: AttemptGuard,
    attempt: AttemptId,
    (prefill, decode): (UsedServer, UsedServer),
    work: Duration,
) -> AttemptEnd {
    let limit = work * 2 + PREFILL_SLACK;
    let done = match run_prefill(host, ask, answer, &mut guard, attempt, prefill, limit).await {
        Ok(done) => done,
        Err(end) => return end,
    };
    let reserve = host.settings.policy == PlacementPolicy::Reserve;
    let mut result = PrefillResult {
        source: prefill.address,
        handle: done.handle,
        work: Duration::from_micros(done.took_micros),
        kv_bytes: done.kv_bytes,
        move_after: reserve.then_some(MOVE_AFTER),
    };
    if !reserve {
        return run_decode(host, ask, answer, &mut guard, attempt, decode, result).await;
    }
    let decode = choose_handoff(host, ask, &mut guard, attempt, decode, done.kv_bytes).await;
    let end = run_decode(host, ask, answer, &mut guard, attempt, decode, result).await;
    let AttemptEnd::Moved(mut moved) = end else { return end };
    drop(guard);
    host.metrics().add("handoffs_rerouted", 1);
    result.move_after = None;
    run_decode(host, ask, answer, &mut moved.guard, moved.attempt, moved.server, result).await
}

/// Holds the pair's slot; returns the microseconds until its handoff.
async fn hold(
    host: &Arc<HostState>,
    ask: &CompletionAsk,
    guard: &mut AttemptGuard,
    place: &PlaceRequest,
    pair: &PairChoice,
    decode: UsedServer,
) -> Option<u64> {
    let hold = HoldRequest {
        server: decode.key,
        attempt: place.attempt,
        earliest_in_micros: pair.handoff_in_micros,
        latest_in_micros: place.finish_in_micros,
        kv_bytes: place.kv_bytes,
        max_tokens: ask.max_tokens,
    };
    let held = host.hold_slot(decode.domain, hold).await.ok()?;
    guard.hold_decode(decode);
    Some(held)
}
