use std::sync::atomic::{AtomicU64, Ordering};

/// Kinds of calls of the platform's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// One page of a listing.
    Page,
    /// One object.
    Read,
    /// Changes since a revision.
    Watch,
    /// A conditional write.
    Write,
}

impl CallKind {
    /// All kinds.
    pub const ALL: [Self; 4] = [Self::Page, Self::Read, Self::Watch, Self::Write];

    /// The name used in logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Page => "pages",
            Self::Read => "reads",
            Self::Watch => "watches",
            Self::Write => "writes",
        }
    }
}

/// Calls of the store so far, those that failed included.
#[derive(Debug, Default)]
pub(super) struct CallCounts([AtomicU64; CallKind::ALL.len()]);

impl CallCounts {
    pub fn note(&self, kind: CallKind) {
        self.0[kind as usize].fetch_add(1, Ordering::Relaxed);
    }

    pub fn count(&self, kind: CallKind) -> u64 {
        self.0[kind as usize].load(Ordering::Relaxed)
    }
}
