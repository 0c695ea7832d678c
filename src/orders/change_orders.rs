use crate::fleet::ServerStage;
use crate::keys::{ServerKey, TimePoint};
use std::collections::HashMap;
use std::time::Duration;

/// An order without effect is forgotten this long after the change should have been done: late
/// ones are carried out up to 12 s later.
const ORDER_MEMORY: Duration = Duration::from_secs(13);
/// A server that could not be ordered is left for this long, while others can be.
const FAILURE_REST: Duration = Duration::from_secs(10);

/// Servers that change their stage, until they have or the order is forgotten, and those that could
/// not be ordered lately.
#[derive(Debug, Clone, Default)]
pub struct ChangeOrders {
    /// Where each goes, and when it should be there.
    open: HashMap<ServerKey, (ServerStage, TimePoint)>,
    failed: HashMap<ServerKey, TimePoint>,
}

impl ChangeOrders {
    /// A server changes to `to`, which takes it `change_time`.
    pub fn record_ordered(
        &mut self,
        now: TimePoint,
        key: ServerKey,
        to: ServerStage,
        change_time: Duration,
    ) {
        self.open.insert(key, (to, now + change_time));
    }

    /// The engine refused the order.
    pub fn record_refused(&mut self, key: ServerKey) {
        self.open.remove(&key);
    }

    /// The server could not be ordered.
    pub fn record_failed(&mut self, now: TimePoint, key: ServerKey) {
        self.failed.insert(key, now);
    }

    /// Orders that have shown no effect yet.
    pub fn pending_count(&self) -> usize {
        self.open.len()
    }

    /// Forgets what is done or too old; `stage_of` says a server's stage, if it is still there.
    pub fn expire(
        &mut self,
        now: TimePoint,
        stage_of: impl Fn(ServerKey) -> Option<Option<ServerStage>>,
    ) {
        self.open.retain(|key, (to, at)| {
            stage_of(*key).is_some_and(|stage| stage != Some(*to)) && now.since(*at) < ORDER_MEMORY
        });
        self.failed.retain(|_, at| now.since(*at) < FAILURE_REST);
    }

    /// The stage that a server changes to.
    pub fn target_stage(&self, key: ServerKey) -> Option<ServerStage> {
        self.open.get(&key).map(|(stage, _)| *stage)
    }

    /// Whether a server should not be ordered now.
    pub fn is_excluded(&self, key: ServerKey) -> bool {
        self.open.contains_key(&key) || self.failed.contains_key(&key)
    }
}
