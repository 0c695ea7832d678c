use super::LogRecord;
use std::time::Duration;

/// How a request ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallOutcome {
    /// Answered within the objective; a stream also without a pause over its limit.
    InTime,
    /// Answered completely, but later than the objective.
    Late,
    /// A complete stream that paused longer than its route allows.
    Paused,
    /// Refused without being run, for this reason.
    Refused(String),
    /// Ended in any other way, for this cause.
    Failed(String),
    /// Was running at a server when its host stopped.
    LostWithHost,
}

impl CallOutcome {
    /// Reads the outcome of a request from a log line; `None` if the line does not end a request.
    pub fn from_record(record: &LogRecord) -> Option<Self> {
        match record.event.as_str() {
            "stream_ended" => Some(stream_outcome(record)),
            "call_ended" => Some(call_outcome(record)),
            _ => None,
        }
    }

    /// Returns the name used in tables.
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
    if exceeds_limit(record.millis("first_ms"), record.millis("objective_ms")) {
        return CallOutcome::Late;
    }
    if exceeds_limit(record.millis("pause_ms"), record.millis("pause_limit_ms")) {
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
        "answered" if exceeds_limit(record.millis("took_ms"), record.millis("objective_ms")) => {
            CallOutcome::Late
        }
        "answered" => CallOutcome::InTime,
        "not_run" => CallOutcome::Refused(cause),
        _ => CallOutcome::Failed(cause),
    }
}

/// Returns whether `took` exceeds `limit`; a missing or zero limit is never exceeded.
fn exceeds_limit(took: Option<Duration>, limit: Option<Duration>) -> bool {
    match (took, limit) {
        (Some(took), Some(limit)) => !limit.is_zero() && took > limit,
        _ => false,
    }
}
