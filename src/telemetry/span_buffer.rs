use super::SpanRecord;
use std::collections::VecDeque;

const MAX_SPANS: usize = 20_000;

/// The most recent spans of this host.
#[derive(Debug, Default)]
pub struct SpanBuffer {
    spans: VecDeque<SpanRecord>,
}

impl SpanBuffer {
    /// Adds a span; when the buffer is full, the oldest one is dropped.
    pub fn record(&mut self, span: SpanRecord) {
        if self.spans.len() >= MAX_SPANS {
            self.spans.pop_front();
        }
        self.spans.push_back(span);
    }

    /// Returns the spans of a trace, ordered by start time.
    pub fn spans_of(&self, trace: u128) -> Vec<SpanRecord> {
        let mut spans: Vec<SpanRecord> =
            self.spans.iter().filter(|span| span.trace == trace).cloned().collect();
        spans.sort_by_key(|span| span.start_micros);
        spans
    }
}
