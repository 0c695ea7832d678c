use serde::{Deserialize, Serialize};

/// A span: one hop of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpanRecord {
    /// Id of the trace that the span belongs to.
    pub trace: u128,
    /// Id of this span.
    pub span: u64,
    /// Id of the parent span; zero if there is none.
    pub parent: u64,
    /// Host that recorded the span.
    pub host: String,
    /// Name of the operation.
    pub name: String,
    /// Start time by the host's clock, in microseconds since 1970.
    pub start_micros: u64,
    /// Duration, in microseconds.
    pub took_micros: u64,
    /// Key=value pairs that explain what was decided.
    pub detail: String,
}
