use super::{CallerResponse, whole_response};
use crate::host::AnswerFailure;
use bytes::Bytes;
use hyper::StatusCode;
use serde_json::json;
use std::time::Duration;

/// What an error says about whether the request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ErrorOutcome {
    /// The request did not run; it is safe to send it again.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The request ran, and its answer was delivered to another connection.
    Whole,
}

/// An error response to a caller; all errors have this format.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerError {
    /// HTTP status.
    pub status: StatusCode,
    /// Whether the request ran.
    pub outcome: ErrorOutcome,
    /// Machine-readable reason code.
    pub reason: String,
    /// Human-readable message.
    pub message: String,
    /// Delay before a retry, if a retry may succeed.
    pub retry_after: Option<Duration>,
}

impl CallerError {
    /// Error for an invalid request: it did not run, and an unchanged retry would fail as well.
    pub fn invalid(reason: &str, message: impl Into<String>) -> Self {
        Self {
            status: StatusCode::BAD_REQUEST,
            outcome: ErrorOutcome::NotRun,
            reason: reason.to_owned(),
            message: message.into(),
            retry_after: None,
        }
    }

    /// Error for a failure inside the router, after which it is unknown whether the request ran.
    pub fn internal() -> Self {
        Self {
            status: StatusCode::INTERNAL_SERVER_ERROR,
            outcome: ErrorOutcome::Unknown,
            reason: "internal".to_owned(),
            message: "the request broke inside the router; it may have run".to_owned(),
            retry_after: None,
        }
    }

    /// Returns the same error with another status.
    #[must_use]
    pub fn with_status(self, status: StatusCode) -> Self {
        Self { status, ..self }
    }

    /// Encodes the JSON body.
    pub fn json(&self) -> serde_json::Value {
        let outcome = match self.outcome {
            ErrorOutcome::NotRun => "not_run",
            ErrorOutcome::Unknown => "unknown",
            ErrorOutcome::Whole => "whole",
        };
        json!({"error": {
            "outcome": outcome,
            "reason": self.reason,
            "message": self.message,
            "retry_after_ms": self.retry_after.map(|after| after.as_millis() as u64),
        }})
    }

    /// Creates the HTTP response.
    pub fn response(&self) -> CallerResponse {
        let body = Bytes::from(self.json().to_string());
        let mut response = whole_response(self.status, "application/json", body);
        if let Some(after) = self.retry_after {
            let seconds = after.as_millis().div_ceil(1000).max(1);
            response.headers_mut().insert("retry-after", (seconds as u64).into());
        }
        response
    }
}

impl From<AnswerFailure> for CallerError {
    fn from(failure: AnswerFailure) -> Self {
        let (outcome, status, reason, retry_after, message) = match failure {
            AnswerFailure::NotRun { reason, retry_after } => (
                ErrorOutcome::NotRun,
                StatusCode::SERVICE_UNAVAILABLE,
                reason,
                retry_after,
                "the request did not run; send it again after the given time",
            ),
            AnswerFailure::Unknown { reason, retry_after } => (
                ErrorOutcome::Unknown,
                StatusCode::BAD_GATEWAY,
                reason,
                retry_after,
                "the request may have run",
            ),
        };
        let (message, retry_after) = (message.to_owned(), Some(retry_after));
        Self { status, outcome, reason, message, retry_after }
    }
}
