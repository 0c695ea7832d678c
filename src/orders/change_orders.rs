use crate::fleet::ServerStage;
use crate::keys::{ServerKey, TimePoint};
use std::collections::HashMap;
use std::time::Duration;

/// An order without effect is removed this long after its change should have completed: an engine
/// may carry out a delayed order up to 12 s later.
const ORDER_TIMEOUT: Duration = Duration::from_secs(13);
/// Time for which a server is excluded after an order to it failed, so that others are tried
/// instead.
const FAILURE_PAUSE: Duration = Duration::from_secs(10);

/// Servers with a pending stage change, until it completes or its order expires, and servers to
/// which an order recently failed.
#[derive(Debug, Clone, Default)]
pub struct ChangeOrders {
    /// Target stage of each server, and when the change should have completed.
    pending: HashMap<ServerKey, (ServerStage, TimePoint)>,
    failed: HashMap<ServerKey, TimePoint>,
}

impl ChangeOrders {
    /// Records that a server changes to the stage `to`, which takes `change_time`.
    pub fn record_ordered(
        &mut self,
        now: TimePoint,
        key: ServerKey,
        to: ServerStage,
        change_time: Duration,
    ) {
        self.pending.insert(key, (to, now + change_time));
    }

    /// Records that the engine refused the order.
    pub fn record_refused(&mut self, key: ServerKey) {
        self.pending.remove(&key);
    }

    /// Records that the order could not be sent to the server.
    pub fn record_failed(&mut self, now: TimePoint, key: ServerKey) {
        self.failed.insert(key, now);
    }

    /// Number of orders that have not taken effect yet.
    pub fn pending_count(&self) -> usize {
        self.pending.len()
    }

    /// Removes completed and expired entries. `stage_of` returns the stage of a server, or `None`
    /// if the server no longer exists.
    pub fn expire(
        &mut self,
        now: TimePoint,
        stage_of: impl Fn(ServerKey) -> Option<Option<ServerStage>>,
    ) {
        self.pending.retain(|key, (to, at)| {
            stage_of(*key).is_some_and(|stage| stage != Some(*to)) && now.since(*at) < ORDER_TIMEOUT
        });
        self.failed.retain(|_, at| now.since(*at) < FAILURE_PAUSE);
    }

    /// The stage that a server is changing to.
    pub fn target_stage(&self, key: ServerKey) -> Option<ServerStage> {
        self.pending.get(&key).map(|(stage, _)| *stage)
    }

    /// Whether no order should be sent to a server now.
    pub fn is_excluded(&self, key: ServerKey) -> bool {
        self.pending.contains_key(&key) || self.failed.contains_key(&key)
    }
}
