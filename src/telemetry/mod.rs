//! Telemetry: log lines, spans of each hop, and metrics.

mod bounded_writer;
mod log_line;
mod metric_book;
mod span_record;
mod trace_book;
mod trace_parent;

pub use log_line::{finish_logs, start_logs};
pub use metric_book::{MetricBook, RequestOutcome};
pub use span_record::SpanRecord;
pub use trace_book::TraceBook;
pub use trace_parent::TraceParent;
