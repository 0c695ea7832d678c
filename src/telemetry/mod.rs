//! Log lines, metrics and the trace spans of each hop.

mod bounded_notice;
mod bounded_writer;
mod log_line;
mod metric_registry;
mod span_buffer;
mod span_record;
mod trace_parent;

pub use bounded_notice::BoundedNotice;
pub use bounded_writer::{flush_logs, lift_line_rate};
pub use log_line::start_logs;
pub use metric_registry::{MetricRegistry, RequestOutcome};
pub use span_buffer::SpanBuffer;
pub use span_record::SpanRecord;
pub use trace_parent::TraceParent;
