use super::ServerEntry;
use crate::keys::ServerKey;
use std::cmp::Ordering;

/// What becomes of the known life of a server when news name another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LifeOutcome {
    /// The server has started again: the known life is over.
    Restarted,
    /// The news are of an earlier life and change nothing.
    Outdated,
}

/// News of a server that name another life than the known one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LifeChange {
    /// Id of the server.
    pub id: String,
    /// The life that was known.
    pub known: ServerKey,
    /// Unix millisecond at which it began.
    pub known_born: Option<u64>,
    /// The same of the life in the news.
    pub told_born: Option<u64>,
    /// What follows.
    pub outcome: LifeOutcome,
}

impl LifeChange {
    /// Compares the known life with one in the news; `None` if they are the same. A life that does not
    /// say when it began is earlier than any that does.
    pub(super) fn between(known: &ServerEntry, told: &ServerEntry) -> Option<Self> {
        let outcome = match told.born.cmp(&known.born) {
            Ordering::Equal => return None,
            Ordering::Greater => LifeOutcome::Restarted,
            Ordering::Less => LifeOutcome::Outdated,
        };
        Some(Self {
            id: told.id.clone(),
            known: known.key(),
            known_born: known.born,
            told_born: told.born,
            outcome,
        })
    }

    /// Whether the news change nothing.
    pub fn is_outdated(&self) -> bool {
        self.outcome == LifeOutcome::Outdated
    }
}
