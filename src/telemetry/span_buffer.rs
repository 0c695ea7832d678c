use super::SpanRecord;
use std::collections::VecDeque;

const MOST_SPANS: usize = 20_000;

/// The last spans of this host.
#[derive(Debug, Default)]
pub struct SpanBuffer {
    spans: VecDeque<SpanRecord>,
}

impl SpanBuffer {
    /// Keeps a span; the oldest goes when there are too many.
    pub fn record(&mut self, span: SpanRecord) {
        if self.spans.len() >= MOST_SPANS {
            self.spans.pop_front();
        }
        self.spans.push_back(span);
    }

    /// The spans of one trace, in the order of their start.
    pub fn spans_of(&self, trace: u128) -> Vec<SpanRecord> {
        let mut spans: Vec<SpanRecord> =
            self.spans.iter().filter(|span| span.trace == trace).cloned().collect();
        spans.sort_by_key(|span| span.start_micros);
        spans
    }
}
