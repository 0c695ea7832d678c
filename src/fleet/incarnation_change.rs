use super::ServerEntry;
use crate::keys::ServerKey;
use std::cmp::Ordering;

/// What happens to the known incarnation of a server when an update names another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IncarnationOutcome {
    /// The server has restarted: the known incarnation has ended.
    Restarted,
    /// The update is about an earlier incarnation and is ignored.
    Outdated,
}

/// An update of a server that names another incarnation than the known one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IncarnationChange {
    /// Id of the server.
    pub id: String,
    /// Key of the known incarnation.
    pub known: ServerKey,
    /// Unix time in milliseconds at which the known incarnation started.
    pub known_started_at: Option<u64>,
    /// Unix time in milliseconds at which the incarnation in the update started.
    pub received_started_at: Option<u64>,
    /// Whether the update replaces the known incarnation.
    pub outcome: IncarnationOutcome,
}

impl IncarnationChange {
    /// Compares the known incarnation with a received one; `None` if they are the same. An incarnation
    /// without a start time counts as earlier than any with one.
    pub(super) fn between(known: &ServerEntry, received: &ServerEntry) -> Option<Self> {
        let outcome = match received.started_at.cmp(&known.started_at) {
            Ordering::Equal => return None,
            Ordering::Greater => IncarnationOutcome::Restarted,
            Ordering::Less => IncarnationOutcome::Outdated,
        };
        Some(Self {
            id: received.id.clone(),
            known: known.key(),
            known_started_at: known.started_at,
            received_started_at: received.started_at,
            outcome,
        })
    }

    /// Whether the update is about an earlier incarnation.
    pub fn is_outdated(&self) -> bool {
        self.outcome == IncarnationOutcome::Outdated
    }
}
