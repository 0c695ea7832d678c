use super::AnswerText;
use crate::intents::{ClassSpec, ModelSpec};
use crate::telemetry::TraceParent;
use std::time::Duration;

/// A validated completion request.
#[derive(Debug, Clone)]
pub struct CompletionRequest {
    /// Identifies the request in answers, in logs and on engines.
    pub id: String,
    /// Model that answers it.
    pub model: ModelSpec,
    /// Adapter of the model, if the caller names one.
    pub adapter: Option<String>,
    /// Prompt text.
    pub prompt: String,
    /// Maximum number of output tokens.
    pub max_tokens: u32,
    /// Class of the caller, with its latency targets.
    pub class: ClassSpec,
    /// Organisation whose share it is charged to.
    pub organisation: String,
    /// First-token target: the class's target, or the caller's deadline if that is shorter.
    pub first_token: Duration,
    /// Parent of its trace spans.
    pub trace: TraceParent,
}

/// One part of an answer to the caller.
#[derive(Debug, Clone)]
pub enum AnswerPart {
    /// Text of the next token.
    Token(AnswerText),
    /// The answer is complete; the reason why generation finished.
    Done(String),
    /// The answer cannot be completed; tokens may already have been sent.
    Failed(AnswerFailure),
}

/// Outcome of a completion that has no whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerFailure {
    /// No engine ran the request.
    NotRun {
        /// Reason code for the caller.
        reason: String,
        /// Delay before the caller should retry.
        retry_after: Duration,
    },
    /// An engine may have run the request.
    Unknown {
        /// Reason code for the caller.
        reason: String,
        /// Delay before the caller should retry.
        retry_after: Duration,
    },
}
