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

const SLICE: Duration = Duration::from_millis(5);

/// Runs one prefill in its turn; goes on when the caller's connection breaks, until cancelled.
///
/// # Errors
/// If it was cancelled.
pub(super) async fn prefill(
    engine: Arc<EngineCore>,
    call: PrefillCall,
) -> Result<PrefillReply, String> {
    let held = engine.hold(&call.attempt);
    let words: Vec<&str> = call.prompt.split_whitespace().collect();
    let tokens = words.len() as u32 + call.generated.len() as u32;
    let estimate = work(&engine, tokens).as_micros() as i64;
    engine.change_backlog(estimate);
    let result = in_turn(&engine, &call, &held, &words, tokens).await;
    engine.change_backlog(-estimate);
    engine.let_go(&call.attempt);
    result
}

fn work(engine: &EngineCore, tokens: u32) -> Duration {
    Duration::from_secs_f64(f64::from(tokens) / engine.timing.prefill_tokens_per_second)
}

async fn in_turn(
    engine: &EngineCore,
    call: &PrefillCall,
    held: &HeldAttempt,
    words: &[&str],
    tokens: u32,
) -> Result<PrefillReply, String> {
    let _turn = engine.lane.lock().await;
    if held.cancelled.load(Ordering::Relaxed) {
        return Err("cancelled before it began".to_owned());
    }
    let blocks = prefix_blocks(words.iter().map(|word| stable_hash(word.as_bytes())));
    let computed = engine.use_cache(&blocks, tokens);
    let whole = work(engine, computed);
    let began = Instant::now();
    let mut spent = Duration::ZERO;
    while spent < whole {
        let slice = SLICE.min(whole - spent);
        engine.faults.thawed().await;
        // Sleeps overshoot: progress is what has really passed, but no more than a few slices.
        let before = Instant::now();
        tokio::time::sleep(slice).await;
        spent += before.elapsed().min(SLICE * 4);
        if held.cancelled.load(Ordering::Relaxed) {
            engine.log_prefill(&call.request, spent.min(whole).as_micros() as u64);
            return Err("cancelled while it ran".to_owned());
        }
    }
    let took_micros = whole.as_micros() as u64;
    engine.log_prefill(&call.request, took_micros);
    let handle = engine.new_handle();
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
        computed_tokens: computed,
        cached_tokens: tokens - computed,
        kv_bytes: bytes,
        took_micros,
    })
}
