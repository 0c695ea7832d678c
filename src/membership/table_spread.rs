//! How tables come to agree beyond the news on probes: pushes to many, and comparisons of the whole.

use super::{MemberState, MemberTable, MemberUpdate, ProbeKind, TableAction};
use crate::keys::{NameKey, TimePoint, mix_hash};
use std::collections::HashMap;
use std::time::Duration;

/// Whole tables are compared at most this often.
const COMPARE_PAUSE: Duration = Duration::from_secs(3);
/// News that came later than this may still be on their way to others: they reach all hosts of a
/// domain of 60 in six rounds of probes.
const NEWS_SPREAD: Duration = Duration::from_secs(3);
/// A host younger than this compares tables without waiting for news to settle: hosts that start
/// together know few others, and each message brings it six.
const JOIN_TIME: Duration = Duration::from_secs(15);
/// Tables that differ for longer are compared also while news keep coming.
const LONGEST_DIFFERENCE: Duration = Duration::from_secs(10);

impl MemberTable {
    /// Whether whole tables should be compared now with a host that believes in others than this one.
    ///
    /// News that still spread explain a difference: while hosts restart in turn, 300 hosts that
    /// compared at once sent each other their tables (15 KB) every 3 s.
    pub(super) fn should_compare(&mut self, now: TimePoint, digest: u64) -> bool {
        if digest == self.digest() {
            self.differs_since = None;
            return false;
        }
        let since = *self.differs_since.get_or_insert(now);
        let joins = now.since(TimePoint::default()) < JOIN_TIME;
        let settled = now.since(self.changed_at) >= NEWS_SPREAD;
        let overdue = now.since(since) >= LONGEST_DIFFERENCE;
        let due = (joins || settled || overdue) && now >= self.next_compare;
        if due {
            self.next_compare = now + COMPARE_PAUSE;
        }
        due
    }

    /// Whether this host has known the same others for `time`, all of them alive, and they knew it to be alive.
    pub fn is_settled(&self, now: TimePoint, time: Duration) -> bool {
        let alive = |update: &MemberUpdate| update.state == MemberState::Alive;
        now.since(self.changed_at) >= time
            && !self.was_declared_dead(now - time)
            && now.since(TimePoint::default()) >= time
            && self.members.values().all(|record| alive(&record.update))
    }

    /// Datagrams that spread a newly adopted view without waiting for the next probe: to `near` hosts
    /// of the own failure domain, and to `abroad` of each other one.
    pub fn push_updates(&mut self, near: usize, abroad: usize) -> Vec<TableAction> {
        let mut targets: Vec<MemberUpdate> = self
            .members
            .values()
            .filter(|record| record.update.state != MemberState::Dead)
            .map(|record| record.update)
            .collect();
        self.rounds += 1;
        let salt = mix_hash(self.salt, self.rounds);
        targets.sort_by_key(|update| mix_hash(salt, update.incarnation.0));
        let mut told: HashMap<NameKey, usize> = HashMap::new();
        targets.retain(|update| {
            let most = if update.domain == self.own.domain { near } else { abroad };
            let count = told.entry(update.domain).or_default();
            *count += 1;
            *count <= most
        });
        let orders = targets.into_iter().map(|target| {
            let ping = self.message(0, ProbeKind::Ping);
            TableAction::Send(target.address, ping)
        });
        orders.collect()
    }

    /// Digest of the hosts believed in; suspicion passes and is left out.
    pub(super) fn digest(&self) -> u64 {
        self.all()
            .filter(|update| update.state != MemberState::Dead)
            .fold(0, |sum, update| sum ^ mix_hash(update.incarnation.0, 1))
    }
}
