use super::{LimitUpdate, ServerLimit};
use crate::keys::{ServerKey, TimePoint};
use std::collections::HashMap;
use std::time::Duration;

/// How often each change is told on, to a few other hosts each time: with six a time 300 hosts hear of it
/// within four times.
const TELLS: u32 = 4;
/// Limits in force are told again after this long, for hosts that were cut off or have just come.
const REPEAT_PERIOD: Duration = Duration::from_secs(1);
/// Limits told at once: at 20 bytes each within one datagram. Others have their turn the next time.
const MOST_TOLD: usize = 96;
/// Answers without a limit, one after the other, after which it counts as taken back. One may be missing in
/// some answers, so the limit is lifted by steps: from the second such answer on each doubles it. Where three in a row
/// lifted it at once, a server that had left it out by chance got 12 requests within 60 ms.
const ABSENT_ANSWERS: u32 = 8;
/// While a limit is in doubt, this many requests a second may find out, whatever it says: the steps take
/// about five seconds also at a server that named a tenth of a request a second.
const DOUBT_RATE: f64 = 1.0;
/// A server that named less than this, or zero, still gets as many requests a second: one each 20 s, whose answer
/// tells whether its limit still stands.
const LEAST_RATE: f64 = 0.05;
/// What is known of a limit that was taken back, or of a server that is gone, is forgotten after this long.
const FORGET_TIME: Duration = Duration::from_secs(60);

/// What is known of one server's limit.
#[derive(Debug, Clone, Copy)]
struct LimitRecord {
    update: LimitUpdate,
    adopted_at: TimePoint,
    /// Answers without it since the last one that named it.
    absences: u32,
    sends_left: u32,
}

/// How a limit changed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitChange {
    /// What was in force.
    pub previous: Option<ServerLimit>,
    /// What is now.
    pub current: LimitUpdate,
}

/// The limits that backend servers named, as far as this host knows.
#[derive(Debug, Default)]
pub struct LimitTable {
    records: HashMap<ServerKey, LimitRecord>,
    resent_at: TimePoint,
}

impl LimitTable {
    /// The limit of a server that is in force.
    pub fn limit(&self, server: ServerKey) -> Option<ServerLimit> {
        let record = self.records.get(&server)?;
        let limit = record.update.limit?;
        Some(match record.absences {
            0 => limit.at_least(LEAST_RATE),
            absents => limit.at_least(DOUBT_RATE).doubled(absents - 1),
        })
    }

    /// What is known of a server's limit.
    pub fn latest(&self, server: ServerKey) -> LimitUpdate {
        let unknown = LimitUpdate { server, version: 0, limit: None };
        self.records.get(&server).map_or(unknown, |record| record.update)
    }

    /// An answer to a request that was sent at `sent_at` named `limit`.
    ///
    /// Answers overtake each other. One that was asked for before the last change was learned may be older than
    /// that change, and is believed only if it names less.
    pub fn apply_answer(
        &mut self,
        now: TimePoint,
        sent_at: TimePoint,
        server: ServerKey,
        limit: ServerLimit,
    ) -> Option<LimitChange> {
        let known = self.latest(server);
        if known.limit == Some(limit) {
            return None;
        }
        let names_less = known.limit.is_some_and(|known| limit < known);
        if !names_less && !self.is_later(sent_at, server) {
            return None;
        }
        let news = LimitUpdate { server, version: known.version + 1, limit: Some(limit) };
        Some(self.adopt(now, news))
    }

    /// Whether an answer to a request that was sent at `sent_at` is certainly later than what is known.
    pub fn is_later(&self, sent_at: TimePoint, server: ServerKey) -> bool {
        self.records.get(&server).is_none_or(|record| sent_at >= record.adopted_at)
    }

    /// A server that has a limit answered later than what is known under `version`, and either named its limit or
    /// did not. Told to the one host that counts these answers, and takes the limit back when enough of them came
    /// one after the other.
    pub fn record_answer(
        &mut self,
        now: TimePoint,
        server: ServerKey,
        version: u32,
        is_named: bool,
    ) -> Option<LimitChange> {
        let record = self.records.get_mut(&server)?;
        if record.update.version != version || record.update.limit.is_none() {
            return None;
        }
        record.absences = if is_named { 0 } else { record.absences + 1 };
        if record.absences < ABSENT_ANSWERS {
            return None;
        }
        Some(self.adopt(now, LimitUpdate { server, version: version + 1, limit: None }))
    }

    /// Takes over what another host told.
    pub fn merge(&mut self, now: TimePoint, news: &LimitUpdate) -> Option<LimitChange> {
        let known = self.latest(news.server);
        news.replaces(&known).then(|| self.adopt(now, *news))
    }

    /// What is to be told next; bounded, whatever there is.
    pub fn unsent(&mut self, now: TimePoint) -> Vec<LimitUpdate> {
        self.schedule_resends(now);
        let due = self.records.values_mut().filter(|record| record.sends_left > 0);
        let told = due.take(MOST_TOLD).map(|record| {
            record.sends_left -= 1;
            record.update
        });
        told.collect()
    }

    /// All limits in force, for a host that comes or compares notes.
    pub fn all(&self) -> Vec<LimitUpdate> {
        let records = self.records.values().map(|record| record.update);
        records.filter(|news| news.limit.is_some()).take(MOST_TOLD).collect()
    }

    /// Servers that have a limit.
    pub fn limited(&self) -> impl Iterator<Item = ServerKey> {
        let records = self.records.values();
        records.filter(|record| record.update.limit.is_some()).map(|record| record.update.server)
    }

    /// Forgets limits that were taken back long ago, and those of servers that are gone.
    pub fn expire(&mut self, now: TimePoint, is_there: impl Fn(ServerKey) -> bool) {
        self.records.retain(|server, record| {
            let is_in_use = record.update.limit.is_some() && is_there(*server);
            is_in_use || now.since(record.adopted_at) < FORGET_TIME
        });
    }

    fn adopt(&mut self, now: TimePoint, news: LimitUpdate) -> LimitChange {
        let was = self.latest(news.server).limit;
        let record = LimitRecord { update: news, adopted_at: now, absences: 0, sends_left: TELLS };
        self.records.insert(news.server, record);
        LimitChange { previous: was, current: news }
    }

    fn schedule_resends(&mut self, now: TimePoint) {
        if now.since(self.resent_at) < REPEAT_PERIOD {
            return;
        }
        self.resent_at = now;
        for record in self.records.values_mut().filter(|record| record.update.limit.is_some()) {
            record.sends_left = record.sends_left.max(1);
        }
    }
}
