use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Tells a stream whether its end is a reset.
#[derive(Debug, Clone, Default)]
pub struct ResetMark(Arc<AtomicBool>);

impl ResetMark {
    /// From now on the end of the stream is a reset.
    pub fn set(&self) {
        self.0.store(true, Ordering::Release);
    }

    /// From now on the stream ends properly.
    pub fn clear(&self) {
        self.0.store(false, Ordering::Release);
    }

    pub(super) fn is_set(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}
