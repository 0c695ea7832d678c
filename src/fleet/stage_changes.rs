use super::{ServerEntry, ServerStage};
use crate::keys::{ServerKey, TimePoint};
use std::collections::HashMap;
use std::time::Duration;

/// News of a change are believed this long after the last host repeated them, unless the server's
/// entry says first that it is done: longer than an idle engine takes to change (6 s), so that they
/// outlive the giver of the order, and its successor counts the server for where it goes.
const NEWS_LIFE: Duration = Duration::from_secs(7);

/// An engine that turned work of its stage away is left alone this long, if no host says why.
const SUSPICION_LIFE: Duration = Duration::from_millis(2500);

/// Engines that change their stage: they still grant holds, but turn every run away.
///
/// The host that gave an order knows of it until the engine has changed or the order is forgotten;
/// the others believe it while that host repeats it, and for the length of a change after that.
#[derive(Debug, Clone, Default)]
pub struct StageChanges {
    ordered: HashMap<ServerKey, ServerStage>,
    announced: HashMap<ServerKey, (ServerStage, TimePoint)>,
    suspected: HashMap<ServerKey, TimePoint>,
}

impl StageChanges {
    /// This host ordered a change, and the engine took the order.
    pub fn record_order(&mut self, key: ServerKey, to: ServerStage) {
        self.ordered.insert(key, to);
    }

    /// Keeps only those own orders that are `open`.
    pub fn retain_orders(&mut self, open: impl Fn(ServerKey) -> bool) {
        self.ordered.retain(|key, _| open(*key));
    }

    /// An engine turned work of its stage away: it seems to change.
    pub fn record_suspicion(&mut self, now: TimePoint, key: ServerKey) {
        self.suspected.insert(key, now);
    }

    /// Another host said that it ordered an engine to change to `to`.
    pub fn record_announcement(&mut self, now: TimePoint, key: ServerKey, to: ServerStage) {
        self.announced.insert(key, (to, now));
    }

    /// Engines that this host ordered to change and that have not done so, to tell the others.
    pub fn ordered(&self) -> impl Iterator<Item = (ServerKey, ServerStage)> {
        self.ordered.iter().map(|(key, to)| (*key, *to))
    }

    /// Changes under way that other hosts ordered, as last heard.
    pub fn announced(&self, now: TimePoint) -> impl Iterator<Item = (ServerKey, ServerStage)> {
        self.announced
            .iter()
            .filter(move |(_, (_, at))| now.since(*at) < NEWS_LIFE)
            .map(|(key, (to, _))| (*key, *to))
    }

    /// Whether an engine changes its stage now.
    pub fn is_changing(&self, now: TimePoint, server: &ServerEntry) -> bool {
        let key = server.key();
        let is_heard = |(to, at): &(ServerStage, TimePoint)| {
            now.since(*at) < NEWS_LIFE && server.stage != Some(*to)
        };
        let is_suspected = |at: &TimePoint| now.since(*at) < SUSPICION_LIFE;
        self.announced.get(&key).is_some_and(is_heard)
            || self.suspected.get(&key).is_some_and(is_suspected)
            || self.ordered.contains_key(&key)
    }

    /// Forgets news that nobody repeats.
    pub fn expire(&mut self, now: TimePoint) {
        self.announced.retain(|_, (_, at)| now.since(*at) < NEWS_LIFE);
        self.suspected.retain(|_, at| now.since(*at) < SUSPICION_LIFE);
    }
}
