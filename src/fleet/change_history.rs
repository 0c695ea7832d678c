use crate::keys::IdKey;
use std::collections::HashMap;

/// Maximum number of removals kept for partial updates; a host that missed more gets a whole view. They take 24 KB at 24
/// bytes each, and cover any rollout or flapping of 3,000 servers within one outage.
const MAX_REMOVALS: usize = 1024;

/// Which changes of the servers are known one by one, so that hosts that lack only these need not get a whole view.
#[derive(Debug, Clone, Default)]
pub(super) struct ChangeHistory {
    /// Every single change after this revision is known.
    start: u64,
    /// Removed servers and the revision of each removal.
    removed: HashMap<IdKey, u64>,
}

impl ChangeHistory {
    /// Records that single changes are known from `revision` on only.
    pub fn start_at(&mut self, revision: u64) {
        self.start = revision;
    }

    /// Whether every single change after `revision` is known.
    pub fn covers(&self, revision: u64) -> bool {
        revision > 0 && revision >= self.start
    }

    /// The removals after `revision`, and the revision of each.
    pub fn removals_after(&self, revision: u64) -> impl Iterator<Item = (IdKey, u64)> {
        let removals = self.removed.iter().map(|(id, at)| (*id, *at));
        removals.filter(move |(_, at)| *at > revision)
    }

    /// Records a removal.
    pub fn record_removal(&mut self, id: IdKey, revision: u64) {
        self.removed.insert(id, revision);
        if self.removed.len() <= MAX_REMOVALS {
            return;
        }
        let oldest = self.removed.iter().min_by_key(|(_, at)| **at).map(|(id, at)| (*id, *at));
        if let Some((id, at)) = oldest {
            self.removed.remove(&id);
            self.start = self.start.max(at);
        }
    }

    /// Records that a server has an entry, so that its removal is outdated.
    pub fn record_entry(&mut self, id: IdKey) {
        self.removed.remove(&id);
    }
}
