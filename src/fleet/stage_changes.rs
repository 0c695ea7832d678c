use super::{ServerEntry, ServerStage};
use crate::keys::{ServerKey, TimePoint};
use std::collections::HashMap;
use std::time::Duration;

/// How long an announced change is valid after its last announcement, unless the server's entry shows
/// the new stage earlier. It is longer than an idle engine takes to change (6 s): if the host that
/// ordered the change dies, its successor still counts the server for its new stage.
const ANNOUNCEMENT_LIFETIME: Duration = Duration::from_secs(7);

/// How long an engine that rejected work of its stage gets no new work, if no host announces a change.
const SUSPICION_LIFETIME: Duration = Duration::from_millis(2500);

/// Engines that are changing their stage: they still grant holds, but reject every run.
///
/// The ordering host keeps the change until the engine has changed or the order is dropped. Other
/// hosts keep it while that host announces it, and for the duration of a change after that.
#[derive(Debug, Clone, Default)]
pub struct StageChanges {
    ordered: HashMap<ServerKey, ServerStage>,
    announced: HashMap<ServerKey, (ServerStage, TimePoint)>,
    suspected: HashMap<ServerKey, TimePoint>,
}

impl StageChanges {
    /// Records a change that this host ordered and the engine accepted.
    pub fn record_order(&mut self, key: ServerKey, to: ServerStage) {
        self.ordered.insert(key, to);
    }

    /// Drops this host's orders for which `is_pending` returns false.
    pub fn retain_orders(&mut self, is_pending: impl Fn(ServerKey) -> bool) {
        self.ordered.retain(|key, _| is_pending(*key));
    }

    /// Records that an engine rejected work of its stage, which suggests that it is changing.
    pub fn record_suspicion(&mut self, now: TimePoint, key: ServerKey) {
        self.suspected.insert(key, now);
    }

    /// Records another host's announcement that it ordered an engine to change to `to`.
    pub fn record_announcement(&mut self, now: TimePoint, key: ServerKey, to: ServerStage) {
        self.announced.insert(key, (to, now));
    }

    /// Engines that this host ordered to change and that have not done so yet, for announcements to other hosts.
    pub fn ordered(&self) -> impl Iterator<Item = (ServerKey, ServerStage)> {
        self.ordered.iter().map(|(key, to)| (*key, *to))
    }

    /// Unexpired changes that other hosts announced.
    pub fn announced(&self, now: TimePoint) -> impl Iterator<Item = (ServerKey, ServerStage)> {
        self.announced
            .iter()
            .filter(move |(_, (_, at))| now.since(*at) < ANNOUNCEMENT_LIFETIME)
            .map(|(key, (to, _))| (*key, *to))
    }

    /// Whether an engine is changing its stage.
    pub fn is_changing(&self, now: TimePoint, server: &ServerEntry) -> bool {
        let key = server.key();
        let is_announced = |(to, at): &(ServerStage, TimePoint)| {
            now.since(*at) < ANNOUNCEMENT_LIFETIME && server.stage != Some(*to)
        };
        let is_suspected = |at: &TimePoint| now.since(*at) < SUSPICION_LIFETIME;
        self.announced.get(&key).is_some_and(is_announced)
            || self.suspected.get(&key).is_some_and(is_suspected)
            || self.ordered.contains_key(&key)
    }

    /// Drops announcements that were not renewed in time, and old suspicions.
    pub fn expire(&mut self, now: TimePoint) {
        self.announced.retain(|_, (_, at)| now.since(*at) < ANNOUNCEMENT_LIFETIME);
        self.suspected.retain(|_, at| now.since(*at) < SUSPICION_LIFETIME);
    }
}
