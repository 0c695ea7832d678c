use super::answer_oracle::{answer_length, token_at};
use super::engine_core::EngineCore;
use super::held_attempt::HeldAttempt;
use super::kv_store::KvResult;
use crate::engines::{DecodeCall, StreamEvent};
use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::mpsc::UnboundedSender;

/// How often a stalled transfer checks whether it may go on.
const STALL_POLL: Duration = Duration::from_millis(10);
/// Longest wait for a notification before the state is checked again: a cut of the streams sends no
/// notification, and one sent between a check and the wait that follows is missed.
const RECHECK_PERIOD: Duration = Duration::from_millis(50);

/// Starts an attempt, which waits for a slot, imports the KV cache and generates the tokens. It
/// continues when the caller's connection breaks, and keeps its slot until its stream has been read
/// to the end or it is cancelled.
pub(super) fn start_attempt(engine: &Arc<EngineCore>, call: DecodeCall) -> Arc<HeldAttempt> {
    let held = engine.hold(&call.attempt);
    let (engine, task_attempt) = (Arc::clone(engine), Arc::clone(&held));
    tokio::spawn(async move {
        if let Err(reason) = generate(&engine, &call, &task_attempt).await {
            let mut failure = task_attempt.failure.lock().unwrap_or_else(PoisonError::into_inner);
            *failure = Some(reason);
            drop(failure);
            task_attempt.changed.notify_waiters();
            engine.release(&call.attempt);
        }
    });
    held
}

async fn generate(
    engine: &EngineCore,
    call: &DecodeCall,
    held: &HeldAttempt,
) -> Result<(), String> {
    let _slot = wait_for_slot(engine, held).await?;
    let acquired_at = Instant::now();
    let result = import_kv(engine, call, held).await;
    let result = result.inspect_err(|_| record_slot_time(engine, acquired_at))?;
    held.imported.store(true, Ordering::Relaxed);
    held.changed.notify_waiters();
    engine.active.fetch_add(1, Ordering::Relaxed);
    let total = answer_length(result.prompt, call.max_tokens);
    let mut next_at = Instant::now() + engine.step_time();
    for index in call.next_index..total {
        tokio::time::sleep_until(next_at.into()).await;
        engine.faults.wait_while_frozen().await;
        next_at = (next_at + engine.step_time()).max(Instant::now());
        if held.cancelled.load(Ordering::Relaxed) {
            break;
        }
        push_output(held, Some((index, token_at(result.prompt, index))));
    }
    push_output(held, None);
    engine.active.fetch_sub(1, Ordering::Relaxed);
    // The memory stays in use until the stream has been read to its end or the attempt is cancelled.
    while !held.cancelled.load(Ordering::Relaxed) {
        let _ = tokio::time::timeout(RECHECK_PERIOD, held.changed.notified()).await;
    }
    record_slot_time(engine, acquired_at);
    Ok(())
}

fn record_slot_time(engine: &EngineCore, acquired_at: Instant) {
    let micros = acquired_at.elapsed().as_micros() as u64;
    engine.slot_micros.fetch_add(micros, Ordering::Relaxed);
}

async fn wait_for_slot(
    engine: &EngineCore,
    held: &HeldAttempt,
) -> Result<tokio::sync::OwnedSemaphorePermit, String> {
    let slot = Arc::clone(&engine.slots).acquire_owned();
    tokio::select! {
        slot = slot => slot.map_err(|_closed| "lost".to_owned()),
        () = cancelled(held) => Err("cancelled".to_owned()),
    }
}

async fn cancelled(held: &HeldAttempt) {
    while !held.cancelled.load(Ordering::Relaxed) {
        let _ = tokio::time::timeout(RECHECK_PERIOD, held.changed.notified()).await;
    }
}

async fn import_kv(
    engine: &EngineCore,
    call: &DecodeCall,
    held: &HeldAttempt,
) -> Result<KvResult, String> {
    let expired = || "expired".to_owned();
    let result = engine.results.get(call.source, call.handle).ok_or_else(expired)?;
    let _link = engine.transfer_link.lock().await;
    if result.is_expired(Instant::now()) {
        return Err(expired());
    }
    let transfer_time = result.bytes as f64 / engine.timing.link_bytes_per_second;
    tokio::time::sleep(Duration::from_secs_f64(transfer_time)).await;
    while engine.faults.is_link_stalled() || engine.faults.is_frozen() {
        if result.is_expired(Instant::now()) {
            return Err(expired());
        }
        tokio::time::sleep(STALL_POLL).await;
    }
    if held.cancelled.load(Ordering::Relaxed) {
        return Err("cancelled".to_owned());
    }
    if result.is_expired(Instant::now()) {
        return Err(expired());
    }
    engine.results.remove(call.source, call.handle);
    Ok(result)
}

fn push_output(held: &HeldAttempt, token: Option<(u32, String)>) {
    held.output.lock().unwrap_or_else(PoisonError::into_inner).push(token);
    held.changed.notify_waiters();
}

/// Sends an attempt's events, with tokens from `next_index` on, until the attempt ends, the engine
/// crashes or its streams are cut.
pub(super) async fn send_events(
    engine: Arc<EngineCore>,
    attempt: String,
    held: Arc<HeldAttempt>,
    next_index: u32,
    out: UnboundedSender<StreamEvent>,
) {
    let (crashes, cuts) = (engine.faults.crashes(), engine.faults.cuts());
    let mut import_sent = false;
    let mut read_count = 0;
    loop {
        let changed = held.changed.notified();
        let broken = engine.faults.crashes() != crashes || engine.faults.cuts() != cuts;
        if out.is_closed() || broken {
            return;
        }
        if !import_sent && held.imported.load(Ordering::Relaxed) {
            import_sent = true;
            let _ = out.send(StreamEvent::Imported);
        }
        let failure = held.failure.lock().unwrap_or_else(PoisonError::into_inner).clone();
        if let Some(reason) = failure {
            let _ = out.send(StreamEvent::Failed { reason });
            return;
        }
        let new_tokens: Vec<Option<(u32, String)>> = {
            let output = held.output.lock().unwrap_or_else(PoisonError::into_inner);
            output[read_count..].to_vec()
        };
        read_count += new_tokens.len();
        for token in new_tokens {
            match token {
                Some((index, text)) if index >= next_index => {
                    let _ = out.send(StreamEvent::Token { index, text });
                }
                Some(_) => {}
                None => {
                    send_done(&engine, &attempt, &held, next_index, &out);
                    return;
                }
            }
        }
        let _ = tokio::time::timeout(RECHECK_PERIOD, changed).await;
    }
}

fn send_done(
    engine: &EngineCore,
    attempt: &str,
    held: &HeldAttempt,
    next_index: u32,
    out: &UnboundedSender<StreamEvent>,
) {
    if held.cancelled.load(Ordering::Relaxed) {
        return;
    }
    let output = held.output.lock().unwrap_or_else(PoisonError::into_inner);
    let last = output.iter().flatten().last().map_or(next_index, |(index, _)| index + 1);
    drop(output);
    let done = StreamEvent::Done { total: last, finish: "stop".to_owned() };
    if out.send(done).is_ok() {
        engine.release(attempt);
    }
}
