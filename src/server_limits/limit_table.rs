use super::{LimitUpdate, ServerLimit};
use crate::keys::{ServerKey, TimePoint};
use std::collections::HashMap;
use std::time::Duration;

/// How many times each change is sent, each time to a few other hosts: with six hosts per send, 300 hosts are reached
/// within four sends.
const UPDATE_SENDS: u32 = 4;
/// Interval at which limits in force are sent again, for hosts that were cut off or have just started.
const RESEND_PERIOD: Duration = Duration::from_secs(1);
/// Maximum number of limits in one message: at 20 bytes each they fit into one datagram. The rest follows in the next
/// message.
const MAX_UPDATES: usize = 96;
/// Number of consecutive answers without a limit after which the limit counts as withdrawn. Since some answers may lack
/// the limit by chance, it is raised in steps: from the second such answer on, each answer doubles it. When three in
/// a row withdrew it at once, a server that had omitted it by chance received 12 requests within 60 ms.
const ABSENT_ANSWERS: u32 = 8;
/// Minimum requests a second while the last answer lacked the limit, however low the limit is. This way the steps take
/// about five seconds even for a server that named a tenth of a request a second.
const MIN_ABSENT_RATE: f64 = 1.0;
/// Minimum requests a second for a server that named a lower limit or zero. This is one request each 20 s, whose answer
/// shows whether the limit is still in force.
const MIN_RATE: f64 = 0.05;
/// How long the record of a withdrawn limit, or of a server that no longer exists, is kept.
const RETENTION: Duration = Duration::from_secs(60);

/// The state of one server's limit.
#[derive(Debug, Clone, Copy)]
struct LimitRecord {
    update: LimitUpdate,
    adopted_at: TimePoint,
    /// Number of answers without the limit since the last one that named it.
    absences: u32,
    sends_left: u32,
}

/// A change of a server's limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitChange {
    /// The limit that was in force before.
    pub previous: Option<ServerLimit>,
    /// What is known now.
    pub current: LimitUpdate,
}

/// The limits that backend servers named, as far as they are known to this host.
#[derive(Debug, Default)]
pub struct LimitTable {
    records: HashMap<ServerKey, LimitRecord>,
    resent_at: TimePoint,
}

impl LimitTable {
    /// The limit of a server that is currently in force.
    pub fn limit(&self, server: ServerKey) -> Option<ServerLimit> {
        let record = self.records.get(&server)?;
        let limit = record.update.limit?;
        Some(match record.absences {
            0 => limit.at_least(MIN_RATE),
            absences => limit.at_least(MIN_ABSENT_RATE).doubled(absences - 1),
        })
    }

    /// The latest update that is known about a server's limit.
    pub fn latest(&self, server: ServerKey) -> LimitUpdate {
        let unknown = LimitUpdate { server, version: 0, limit: None };
        self.records.get(&server).map_or(unknown, |record| record.update)
    }

    /// Applies an answer that named `limit` to a request that was sent at `sent_at`.
    ///
    /// Answers may arrive out of order. An answer to a request that was sent before the last change became known may be
    /// older than that change, and is applied only if it lowers the limit.
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
        let is_lower = known.limit.is_some_and(|known| limit < known);
        if !is_lower && !self.is_later(sent_at, server) {
            return None;
        }
        let update = LimitUpdate { server, version: known.version + 1, limit: Some(limit) };
        Some(self.adopt(now, update))
    }

    /// Whether an answer to a request that was sent at `sent_at` is certainly later than the last known change.
    pub fn is_later(&self, sent_at: TimePoint, server: ServerKey) -> bool {
        self.records.get(&server).is_none_or(|record| sent_at >= record.adopted_at)
    }

    /// Records an answer of a server that has a limit. The answer is later than the change `version`, and `is_named`
    /// says whether it named the limit. One host counts these answers, and withdraws the limit after enough consecutive
    /// answers without it.
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

    /// Merges an update of another host.
    pub fn merge(&mut self, now: TimePoint, update: &LimitUpdate) -> Option<LimitChange> {
        let known = self.latest(update.server);
        update.replaces(&known).then(|| self.adopt(now, *update))
    }

    /// The next updates to send to other hosts. Their number is bounded.
    pub fn unsent(&mut self, now: TimePoint) -> Vec<LimitUpdate> {
        self.schedule_resends(now);
        let due = self.records.values_mut().filter(|record| record.sends_left > 0);
        let updates = due.take(MAX_UPDATES).map(|record| {
            record.sends_left -= 1;
            record.update
        });
        updates.collect()
    }

    /// The limits in force, for a host that joins or synchronizes its state. Their number is bounded.
    pub fn all(&self) -> Vec<LimitUpdate> {
        let records = self.records.values().map(|record| record.update);
        records.filter(|update| update.limit.is_some()).take(MAX_UPDATES).collect()
    }

    /// Servers that have a limit.
    pub fn limited(&self) -> impl Iterator<Item = ServerKey> {
        let records = self.records.values();
        records.filter(|record| record.update.limit.is_some()).map(|record| record.update.server)
    }

    /// Drops limits that were withdrawn long ago, and those of servers for which `exists` returns false.
    pub fn expire(&mut self, now: TimePoint, exists: impl Fn(ServerKey) -> bool) {
        self.records.retain(|server, record| {
            let is_in_use = record.update.limit.is_some() && exists(*server);
            is_in_use || now.since(record.adopted_at) < RETENTION
        });
    }

    fn adopt(&mut self, now: TimePoint, update: LimitUpdate) -> LimitChange {
        let previous = self.latest(update.server).limit;
        let record = LimitRecord { update, adopted_at: now, absences: 0, sends_left: UPDATE_SENDS };
        self.records.insert(update.server, record);
        LimitChange { previous, current: update }
    }

    fn schedule_resends(&mut self, now: TimePoint) {
        if now.since(self.resent_at) < RESEND_PERIOD {
            return;
        }
        self.resent_at = now;
        for record in self.records.values_mut().filter(|record| record.update.limit.is_some()) {
            record.sends_left = record.sends_left.max(1);
        }
    }
}
