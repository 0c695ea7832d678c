use super::attempt_guard::{AttemptGuard, UsedServer};
use super::books_attempt::attempt_by_books;
use super::decode_leg::take_retry;
use super::host_state::{HostState, lock};
use super::in_flight::InFlight;
use super::reports_attempt::attempt_by_reports;
use super::{AnswerPart, CompletionAsk, FinalAnswer};
use crate::keys::{AttemptId, TimePoint};
use crate::streams::TokenLedger;
use crate::telemetry::RequestOutcome;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;

const MOST_ATTEMPTS: u32 = 4;
/// A stream that broke after its first token may search this long for a new place.
const MOVE_LIMIT: Duration = Duration::from_secs(4);
const MOVE_PAUSE: Duration = Duration::from_millis(60);
const RETRY_AFTER_FAILURE: Duration = Duration::from_secs(1);

/// How one attempt ended.
#[derive(Debug)]
pub(super) enum AttemptEnd {
    /// The whole answer was written.
    Whole,
    /// No place was found; nothing was sent to any engine.
    Refused { reason: &'static str, retry_after: Duration },
    /// An engine failed, stalled, or lost the work.
    Failed,
    /// The transfer stalled, and another server holds a slot for a new attempt: take the prefill
    /// result there while it lives.
    Moved(MovedHold),
    /// The caller left.
    CallerLeft,
}

/// A slot held for a stalled handoff's next attempt.
#[derive(Debug)]
pub(super) struct MovedHold {
    pub attempt: AttemptId,
    pub guard: AttemptGuard,
    pub server: UsedServer,
}

/// What of the answer was written so far.
#[derive(Debug)]
pub(super) struct AnswerState {
    pub ledger: TokenLedger,
    pub generated: Vec<String>,
    pub arrived: TimePoint,
    /// When the first token must be written, or the next one of a stream that moves.
    pub deadline: TimePoint,
    pub last_token: Option<TimePoint>,
    /// Whether any engine was given the request.
    pub ran: bool,
    pub sink: UnboundedSender<AnswerPart>,
}

/// Runs a completion to its final answer; parts go to `sink` as they come.
pub async fn run_completion(
    host: Arc<HostState>,
    ask: CompletionAsk,
    sink: UnboundedSender<AnswerPart>,
) {
    let _flight = InFlight::begin(&host);
    let arrived = host.now();
    lock(&host.retries).record_request();
    let mut answer = AnswerState {
        ledger: TokenLedger::new(),
        generated: Vec::new(),
        arrived,
        deadline: arrived + ask.first_token,
        last_token: None,
        ran: false,
        sink,
    };
    let outcome = run_attempts(&host, &ask, &mut answer).await;
    host.metrics().record_outcome(outcome, &ask.class.name, &ask.organisation);
    let detail = format!("request={} outcome={}", ask.request, outcome.name());
    host.note_span(ask.trace, "completion", arrived, detail);
    log::debug!(
        "event=completion_ended request={} outcome={} tokens={} took_ms={}",
        ask.request,
        outcome.name(),
        answer.ledger.next_index(),
        host.now().since(arrived).as_millis()
    );
}

async fn run_attempts(
    host: &Arc<HostState>,
    ask: &CompletionAsk,
    answer: &mut AnswerState,
) -> RequestOutcome {
    let mut failures = 0;
    loop {
        let end = if host.settings.policy.queries_owners() {
            attempt_by_books(host, ask, answer).await
        } else {
            attempt_by_reports(host, ask, answer).await
        };
        match end {
            AttemptEnd::Whole => return RequestOutcome::Whole,
            AttemptEnd::CallerLeft => return RequestOutcome::Cancelled,
            AttemptEnd::Refused { reason, retry_after } => {
                if !may_search_on(host, answer).await {
                    return give_up(answer, reason, retry_after);
                }
            }
            AttemptEnd::Failed | AttemptEnd::Moved(_) => {
                failures += 1;
                if failures >= MOST_ATTEMPTS || !may_retry(host, answer) {
                    return give_up(answer, "engine_failed", RETRY_AFTER_FAILURE);
                }
                host.metrics().add("retries", 1);
            }
        }
    }
}

/// Before the first token a retry is paid from the budget and must still be in time; after it the
/// caller has read a part of the answer, so the rest gets a while of its own.
fn may_retry(host: &HostState, answer: &mut AnswerState) -> bool {
    let now = host.now();
    match answer.last_token {
        Some(last) => {
            answer.deadline = last + MOVE_LIMIT;
            now < answer.deadline
        }
        None => now < answer.deadline && take_retry(host),
    }
}

async fn may_search_on(host: &HostState, answer: &mut AnswerState) -> bool {
    let now = host.now();
    let moving = answer.last_token.is_some_and(|last| now.since(last) < MOVE_LIMIT);
    if moving {
        tokio::time::sleep(MOVE_PAUSE).await;
    }
    moving && !answer.sink.is_closed()
}

fn give_up(answer: &AnswerState, reason: &str, retry_after: Duration) -> RequestOutcome {
    let reason = reason.to_owned();
    let (end, outcome) = if answer.ran {
        (FinalAnswer::Unknown { reason, retry_after }, RequestOutcome::Unknown)
    } else {
        (FinalAnswer::NotRun { reason, retry_after }, RequestOutcome::NotRun)
    };
    answer.send(AnswerPart::Broken(end));
    outcome
}
