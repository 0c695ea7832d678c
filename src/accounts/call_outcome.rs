use super::LogRecord;
use std::time::Duration;

/// How a request ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallOutcome {
    /// Answered within the objective; a stream without a pause over its limit.
    InTime,
    /// Answered whole, but later than the objective.
    Late,
    /// A whole stream that paused longer than its route allows.
    Paused,
    /// Refused as not run, for this reason.
    Refused(String),
    /// Ended otherwise, for this cause.
    Failed(String),
    /// It ran at a server, and its host ended before it.
    LostWithHost,
}

impl CallOutcome {
    /// How a log line says that a request ended; `None` if the line says nothing of the kind.
    pub fn read(record: &LogRecord) -> Option<Self> {
        match record.event.as_str() {
            "stream_ended" => Some(stream_outcome(record)),
            "call_ended" => Some(call_outcome(record)),
            _ => None,
        }
    }

    /// Its name in tables.
    pub fn name(&self) -> String {
        match self {
            Self::InTime => "in time".to_owned(),
            Self::Late => "late".to_owned(),
            Self::Paused => "paused".to_owned(),
            Self::Refused(reason) => format!("refused: {reason}"),
            Self::Failed(cause) => format!("failed: {cause}"),
            Self::LostWithHost => "lost with its host".to_owned(),
        }
    }
}

fn stream_outcome(record: &LogRecord) -> CallOutcome {
    let outcome = record.text("outcome");
    if outcome != "whole" {
        return CallOutcome::Failed(outcome.to_owned());
    }
    if is_over(record.millis("first_ms"), record.millis("objective_ms")) {
        return CallOutcome::Late;
    }
    if is_over(record.millis("pause_ms"), record.millis("pause_limit_ms")) {
        return CallOutcome::Paused;
    }
    CallOutcome::InTime
}

fn call_outcome(record: &LogRecord) -> CallOutcome {
    let cause = record.text("cause").to_owned();
    match record.text("outcome") {
        "answered" if !record.text("status").starts_with('2') => {
            CallOutcome::Failed(format!("{cause} {}", record.text("status")))
        }
        "answered" if is_over(record.millis("took_ms"), record.millis("objective_ms")) => {
            CallOutcome::Late
        }
        "answered" => CallOutcome::InTime,
        "not_run" => CallOutcome::Refused(cause),
        _ => CallOutcome::Failed(cause),
    }
}

/// Whether something took longer than its limit; without a limit, nothing does.
fn is_over(took: Option<Duration>, limit: Option<Duration>) -> bool {
    match (took, limit) {
        (Some(took), Some(limit)) => !limit.is_zero() && took > limit,
        _ => false,
    }
}
