use std::sync::atomic::{AtomicU64, Ordering};

/// Kind of a call to the platform's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// Reads one page of a listing.
    Page,
    /// Reads one object.
    Read,
    /// Waits for changes after a revision.
    Watch,
    /// Writes an object conditionally.
    Write,
}

impl CallKind {
    /// All kinds.
    pub const ALL: [Self; 4] = [Self::Page, Self::Read, Self::Watch, Self::Write];

    /// Returns the name used in logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Page => "pages",
            Self::Read => "reads",
            Self::Watch => "watches",
            Self::Write => "writes",
        }
    }
}

/// Number of calls to the store by kind, including failed calls.
#[derive(Debug, Default)]
pub(super) struct CallCounts([AtomicU64; CallKind::ALL.len()]);

impl CallCounts {
    pub fn record(&self, kind: CallKind) {
        self.0[kind as usize].fetch_add(1, Ordering::Relaxed);
    }

    pub fn count(&self, kind: CallKind) -> u64 {
        self.0[kind as usize].load(Ordering::Relaxed)
    }
}
