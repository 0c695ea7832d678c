use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use tokio::sync::Notify;

/// An attempt that an engine holds.
#[derive(Debug, Default)]
pub struct HeldAttempt {
    /// Whether it was cancelled.
    pub cancelled: AtomicBool,
    /// Tokens generated so far, with index and text; `None` marks the end of the stream.
    pub output: Mutex<Vec<Option<(u32, String)>>>,
    /// Notified of every change.
    pub changed: Notify,
    /// Reason of the failure, if it failed.
    pub failure: Mutex<Option<String>>,
    /// Whether the KV cache has been imported.
    pub imported: AtomicBool,
}
