use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Most bytes of a connection that may be read while its reader receives nothing of an answer: eight buffers of the HTTP
/// library, which reads at most one head and two pieces of a body ahead. Interim (1xx) heads and the digits of a chunk
/// size take no memory, but may go on without end.
const MAX_UNDELIVERED_BYTES: usize = 128 << 10;

/// Counts the bytes of a connection since its reader last received something.
#[derive(Debug, Clone, Default)]
pub struct ReadMeter {
    undelivered: Arc<AtomicUsize>,
}

impl ReadMeter {
    /// Records that a call begins, or that its reader received something.
    pub fn reset(&self) {
        self.undelivered.store(0, Ordering::Relaxed);
    }

    /// Counts `bytes`; returns false once they are too many.
    pub(super) fn record(&self, bytes: usize) -> bool {
        let before = self.undelivered.fetch_add(bytes, Ordering::Relaxed);
        before + bytes <= MAX_UNDELIVERED_BYTES
    }
}

/// Ends a connection that delivers too many bytes of which nothing becomes part of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UndeliveredBytes;

impl std::fmt::Display for UndeliveredBytes {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{MAX_UNDELIVERED_BYTES} bytes arrived without a part of an answer")
    }
}

impl std::error::Error for UndeliveredBytes {}
