use super::ServerStage;
use crate::keys::{ServerKey, TimePoint};
use std::collections::HashMap;
use std::time::Duration;

/// News of a change of stage are believed this long; the host that ordered it repeats them twice a
/// second, so that a lost datagram does not matter.
const NEWS_LIFE: Duration = Duration::from_millis(2500);

/// Engines that change their stage: they still grant holds, but turn every run away.
///
/// The host that gave an order knows of it until the engine has changed or the order is forgotten;
/// the others believe it for as long as that host repeats it.
#[derive(Debug, Clone, Default)]
pub struct StageChanges {
    ordered: HashMap<ServerKey, ServerStage>,
    heard: HashMap<ServerKey, TimePoint>,
}

impl StageChanges {
    /// This host ordered a change, and the engine took the order.
    pub fn note_ordered(&mut self, key: ServerKey, stage: ServerStage) {
        self.ordered.insert(key, stage);
    }

    /// Keeps only those own orders that are `open`.
    pub fn retain_ordered(&mut self, open: impl Fn(ServerKey) -> bool) {
        self.ordered.retain(|key, _| open(*key));
    }

    /// Another host said that it ordered a change of this engine.
    pub fn note_heard(&mut self, now: TimePoint, key: ServerKey) {
        self.heard.insert(key, now);
    }

    /// Engines that this host ordered to change and that have not done so, to tell the others.
    pub fn ordered(&self) -> impl Iterator<Item = ServerKey> {
        self.ordered.keys().copied()
    }

    /// Whether an engine changes its stage now.
    pub fn is_changing(&self, now: TimePoint, key: ServerKey) -> bool {
        let heard = self.heard.get(&key).is_some_and(|at| now.since(*at) < NEWS_LIFE);
        heard || self.ordered.contains_key(&key)
    }

    /// Forgets news that nobody repeats.
    pub fn expire(&mut self, now: TimePoint) {
        self.heard.retain(|_, at| now.since(*at) < NEWS_LIFE);
    }
}
