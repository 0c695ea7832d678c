use super::ServerEntry;
use crate::keys::ServerKey;
use std::cmp::Ordering;

/// What becomes of the known life of a server when news name another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IncarnationOutcome {
    /// The server has started again: the known life is over.
    Restarted,
    /// The news are of an earlier life and change nothing.
    Outdated,
}

/// News of a server that name another life than the known one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IncarnationChange {
    /// Id of the server.
    pub id: String,
    /// The life that was known.
    pub known: ServerKey,
    /// Unix millisecond at which it began.
    pub known_started_at: Option<u64>,
    /// The same of the life in the news.
    pub received_started_at: Option<u64>,
    /// What follows.
    pub outcome: IncarnationOutcome,
}

impl IncarnationChange {
    /// Compares the known life with one in the news; `None` if they are the same. A life that does not
    /// say when it began is earlier than any that does.
    pub(super) fn between(known: &ServerEntry, told: &ServerEntry) -> Option<Self> {
        let outcome = match told.started_at.cmp(&known.started_at) {
            Ordering::Equal => return None,
            Ordering::Greater => IncarnationOutcome::Restarted,
            Ordering::Less => IncarnationOutcome::Outdated,
        };
        Some(Self {
            id: told.id.clone(),
            known: known.key(),
            known_started_at: known.started_at,
            received_started_at: told.started_at,
            outcome,
        })
    }

    /// Whether the news change nothing.
    pub fn is_outdated(&self) -> bool {
        self.outcome == IncarnationOutcome::Outdated
    }
}
