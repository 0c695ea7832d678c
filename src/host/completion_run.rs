use super::attempt_guard::{AttemptGuard, ServerLocation};
use super::decode_phase::try_spend_retry;
use super::host_state::{HostState, lock};
use super::in_flight_guard::InFlightGuard;
use super::quotes_attempt::attempt_by_quotes;
use super::reports_attempt::attempt_by_reports;
use super::{AnswerBytes, AnswerFailure, AnswerPart, AnswerText, CompletionRequest};
use crate::keys::{AttemptId, TimePoint};
use crate::streams::TokenLedger;
use crate::telemetry::RequestOutcome;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;

const MAX_ATTEMPTS: u32 = 4;
/// Time after the last token in which a broken stream may be placed on another server.
const FAILOVER_TIMEOUT: Duration = Duration::from_secs(4);
const FAILOVER_PAUSE: Duration = Duration::from_millis(60);
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// How one attempt ended.
#[derive(Debug)]
pub(super) enum AttemptEnd {
    /// The whole answer was sent to the caller.
    Whole,
    /// The attempt could not be placed, and no engine received anything.
    Refused { reason: &'static str, retry_after: Duration },
    /// An engine failed, stalled or lost the attempt.
    Failed,
    /// The transfer stalled, and a new attempt holds a slot on another server; the prefill result
    /// must be transferred there before it expires.
    Moved(MovedHold),
    /// The caller closed the connection.
    CallerLeft,
}

/// A slot held for the attempt that replaces one whose handoff stalled.
#[derive(Debug)]
pub(super) struct MovedHold {
    pub attempt: AttemptId,
    pub guard: AttemptGuard,
    pub server: ServerLocation,
}

/// The part of the answer that was sent to the caller so far.
#[derive(Debug)]
pub(super) struct AnswerState {
    pub ledger: TokenLedger,
    pub generated: Vec<AnswerText>,
    /// What the tokens occupy.
    pub bytes: AnswerBytes,
    pub arrived_at: TimePoint,
    /// Deadline of the first token, or of the next one of a stream that fails over.
    pub deadline: TimePoint,
    pub last_token: Option<TimePoint>,
    /// Whether the request was sent to any engine.
    pub reached_engine: bool,
    pub sink: UnboundedSender<AnswerPart>,
}

/// Runs a completion until it has an answer or has failed; sends each part to `sink` as it arrives.
pub async fn run_completion(
    host: Arc<HostState>,
    request: CompletionRequest,
    sink: UnboundedSender<AnswerPart>,
) {
    let _in_flight = InFlightGuard::begin(&host);
    let arrived_at = host.now();
    lock(&host.retry_budget).record_request();
    let mut answer = AnswerState {
        ledger: TokenLedger::new(),
        generated: Vec::new(),
        bytes: AnswerBytes::new(host.answer_bytes()),
        arrived_at,
        deadline: arrived_at + request.first_token,
        last_token: None,
        reached_engine: false,
        sink,
    };
    let outcome = run_attempts(&host, &request, &mut answer).await;
    host.metrics().record_outcome(outcome, &request.class.name, &request.organisation);
    let detail = format!("request={} outcome={}", request.id, outcome.name());
    host.record_span(request.trace, "completion", arrived_at, detail);
    log::debug!(
        "event=completion_ended request={} outcome={} tokens={} took_ms={}",
        request.id,
        outcome.name(),
        answer.ledger.next_index(),
        host.now().since(arrived_at).as_millis()
    );
}

async fn run_attempts(
    host: &Arc<HostState>,
    request: &CompletionRequest,
    answer: &mut AnswerState,
) -> RequestOutcome {
    let mut failures = 0;
    loop {
        let end = if host.settings.policy.queries_owners() {
            attempt_by_quotes(host, request, answer).await
        } else {
            attempt_by_reports(host, request, answer).await
        };
        match end {
            AttemptEnd::Whole => return RequestOutcome::Whole,
            AttemptEnd::CallerLeft => return RequestOutcome::Cancelled,
            AttemptEnd::Refused { reason, retry_after } => {
                if !may_search_again(host, answer).await {
                    return give_up(answer, reason, retry_after);
                }
            }
            AttemptEnd::Failed | AttemptEnd::Moved(_) => {
                failures += 1;
                if failures >= MAX_ATTEMPTS || !may_retry(host, answer) {
                    return give_up(answer, "engine_failed", RETRY_AFTER);
                }
                host.metrics().add("retries", 1);
            }
        }
    }
}

/// Whether a failed attempt may be retried.
///
/// Before the first token, a retry is charged to the retry budget and must meet the deadline. After
/// it, the caller has already received a part of the answer, so the rest gets its own deadline.
fn may_retry(host: &HostState, answer: &mut AnswerState) -> bool {
    let now = host.now();
    match answer.last_token {
        Some(last) => {
            answer.deadline = last + FAILOVER_TIMEOUT;
            now < answer.deadline
        }
        None => now < answer.deadline && try_spend_retry(host),
    }
}

/// Waits briefly and allows another search if a started stream may still fail over.
async fn may_search_again(host: &HostState, answer: &mut AnswerState) -> bool {
    let now = host.now();
    let may_fail_over = answer.last_token.is_some_and(|last| now.since(last) < FAILOVER_TIMEOUT);
    if may_fail_over {
        tokio::time::sleep(FAILOVER_PAUSE).await;
    }
    may_fail_over && !answer.sink.is_closed()
}

fn give_up(answer: &AnswerState, reason: &str, retry_after: Duration) -> RequestOutcome {
    let reason = reason.to_owned();
    let (end, outcome) = if answer.reached_engine {
        (AnswerFailure::Unknown { reason, retry_after }, RequestOutcome::Unknown)
    } else {
        (AnswerFailure::NotRun { reason, retry_after }, RequestOutcome::NotRun)
    };
    answer.send(AnswerPart::Failed(end));
    outcome
}
