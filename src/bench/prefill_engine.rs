use super::answer_oracle::prompt_hash;
use super::engine_core::EngineCore;
use super::held_attempt::HeldAttempt;
use super::kv_store::KvResult;
use crate::engines::{PrefillCall, PrefillReply};
use crate::keys::stable_hash;
use crate::placement::prefix_blocks;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Step in which a prefill progresses and checks for faults and cancels.
const PROGRESS_SLICE: Duration = Duration::from_millis(5);

/// Runs one prefill after those that arrived earlier. It continues when the caller's connection
/// breaks, and stops when it is cancelled.
///
/// # Errors
/// If it is cancelled.
pub(super) async fn prefill(
    engine: Arc<EngineCore>,
    call: PrefillCall,
) -> Result<PrefillReply, String> {
    let held = engine.hold(&call.attempt);
    let words: Vec<&str> = call.prompt.split_whitespace().collect();
    let tokens = words.len() as u32 + call.generated.len() as u32;
    let estimate = prefill_time(&engine, tokens).as_micros() as i64;
    engine.change_backlog(estimate);
    let result = run_prefill(&engine, &call, &held, &words, tokens).await;
    engine.change_backlog(-estimate);
    engine.release(&call.attempt);
    result
}

fn prefill_time(engine: &EngineCore, tokens: u32) -> Duration {
    Duration::from_secs_f64(f64::from(tokens) / engine.timing.prefill_tokens_per_second)
}

async fn run_prefill(
    engine: &EngineCore,
    call: &PrefillCall,
    held: &HeldAttempt,
    words: &[&str],
    tokens: u32,
) -> Result<PrefillReply, String> {
    let _lane = engine.prefill_lane.lock().await;
    if held.cancelled.load(Ordering::Relaxed) {
        return Err("cancelled before it began".to_owned());
    }
    let blocks = prefix_blocks(words.iter().map(|word| stable_hash(word.as_bytes())));
    let computed_tokens = engine.cache_prompt(&blocks, tokens);
    let total_time = prefill_time(engine, computed_tokens);
    let began = Instant::now();
    let mut spent = Duration::ZERO;
    while spent < total_time {
        let slice = PROGRESS_SLICE.min(total_time - spent);
        engine.faults.wait_while_frozen().await;
        // A sleep can take longer than requested: the time that really passed counts as progress, but no
        // more than a few slices.
        let before = Instant::now();
        tokio::time::sleep(slice).await;
        spent += before.elapsed().min(PROGRESS_SLICE * 4);
        if held.cancelled.load(Ordering::Relaxed) {
            engine.record_prefill(&call.request, spent.min(total_time).as_micros() as u64);
            return Err("cancelled while it ran".to_owned());
        }
    }
    let took_micros = total_time.as_micros() as u64;
    engine.record_prefill(&call.request, took_micros);
    let handle = engine.next_handle();
    let bytes = u64::from(tokens) * engine.timing.kv_bytes_per_token;
    let prompt = prompt_hash(&call.prompt);
    engine.results.put(
        engine.address,
        handle,
        KvResult { prompt, bytes, ready_at: Instant::now() },
    );
    log::debug!("event=prefilled took_ms={}", began.elapsed().as_millis());
    Ok(PrefillReply {
        handle,
        computed_tokens,
        cached_tokens: tokens - computed_tokens,
        kv_bytes: bytes,
        took_micros,
    })
}
