use crate::host::lock;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, Weak};

/// Whether the connections through one host may carry further calls.
#[derive(Debug)]
pub(super) struct HelperMark {
    is_usable: AtomicBool,
}

impl HelperMark {
    /// Whether a connection through the host may carry another call.
    pub fn is_usable(&self) -> bool {
        self.is_usable.load(Ordering::Relaxed)
    }
}

/// The hosts through which connections are open, idle or in use.
#[derive(Debug, Clone, Default)]
pub(super) struct HelperMarks {
    marks: Arc<Mutex<HashMap<SocketAddr, Weak<HelperMark>>>>,
}

impl HelperMarks {
    /// The mark of a host through which a connection has just been opened.
    pub fn mark(&self, helper: SocketAddr) -> Arc<HelperMark> {
        let mut marks = lock(&self.marks);
        if let Some(mark) = marks.get(&helper).and_then(Weak::upgrade) {
            return mark;
        }
        let mark = Arc::new(HelperMark { is_usable: AtomicBool::new(true) });
        marks.insert(helper, Arc::downgrade(&mark));
        mark
    }

    /// Records which hosts may be used, and forgets those through which no connection is open any more.
    pub fn update(&self, is_usable: impl Fn(SocketAddr) -> bool) {
        lock(&self.marks).retain(|helper, mark| {
            let Some(mark) = mark.upgrade() else { return false };
            mark.is_usable.store(is_usable(*helper), Ordering::Relaxed);
            true
        });
    }

    /// Whether connections through other hosts are open.
    pub fn is_any_open(&self) -> bool {
        lock(&self.marks).values().any(|mark| mark.strong_count() > 0)
    }
}
