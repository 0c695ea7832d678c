//! Convergence of member tables beyond the updates on probes: pushes to many hosts and comparisons of whole tables.

use super::{MemberState, MemberTable, MemberUpdate, ProbeKind, TableAction};
use crate::keys::{NameKey, TimePoint, mix_hash};
use std::collections::HashMap;
use std::time::Duration;

/// Minimum time between two comparisons of whole tables.
const COMPARE_PAUSE: Duration = Duration::from_secs(3);
/// Updates more recent than this may not have reached all hosts yet: they reach all hosts of a domain of 60
/// in six rounds of probes.
const UPDATE_SPREAD: Duration = Duration::from_secs(3);
/// A host that started less than this ago compares tables without waiting for updates to settle: hosts that
/// start together know few others, and each message carries only six updates.
const JOIN_TIME: Duration = Duration::from_secs(15);
/// Tables that differ for longer than this are compared even while updates keep arriving.
const MAX_DIFFERENCE: Duration = Duration::from_secs(10);

impl MemberTable {
    /// Whether whole tables should be compared now with a host whose digest differs from this host's.
    ///
    /// Updates that are still spreading explain a difference. Without the wait, a rolling restart makes
    /// 300 hosts send each other their tables (15 KB) every 3 s.
    pub(super) fn should_compare(&mut self, now: TimePoint, digest: u64) -> bool {
        if digest == self.digest() {
            self.differs_since = None;
            return false;
        }
        let since = *self.differs_since.get_or_insert(now);
        let is_joining = now.since(TimePoint::CLOCK_START) < JOIN_TIME;
        let is_settled = now.since(self.changed_at) >= UPDATE_SPREAD;
        let is_overdue = now.since(since) >= MAX_DIFFERENCE;
        let due = (is_joining || is_settled || is_overdue) && now >= self.next_compare_at;
        if due {
            self.next_compare_at = now + COMPARE_PAUSE;
        }
        due
    }

    /// Whether for `time` this host has known the same other hosts, all of them alive, and none of them declared it dead.
    pub fn is_settled(&self, now: TimePoint, time: Duration) -> bool {
        let is_alive = |update: &MemberUpdate| update.state == MemberState::Alive;
        now.since(self.changed_at) >= time
            && !self.was_declared_dead(now - time)
            && now.since(TimePoint::CLOCK_START) >= time
            && self.members.values().all(|record| is_alive(&record.update))
    }

    /// Datagrams that spread a newly adopted view without waiting for the next probe: to `own_domain` hosts
    /// of this host's failure domain, and to `per_other_domain` hosts of each other one.
    pub fn push_updates(&mut self, own_domain: usize, per_other_domain: usize) -> Vec<TableAction> {
        let mut targets: Vec<MemberUpdate> = self
            .members
            .values()
            .filter(|record| record.update.state != MemberState::Dead)
            .map(|record| record.update)
            .collect();
        self.rounds += 1;
        let salt = mix_hash(self.salt, self.rounds);
        targets.sort_by_key(|update| mix_hash(salt, update.incarnation.0));
        let mut counts: HashMap<NameKey, usize> = HashMap::new();
        targets.retain(|update| {
            let limit =
                if update.domain == self.own.domain { own_domain } else { per_other_domain };
            let count = counts.entry(update.domain).or_default();
            *count += 1;
            *count <= limit
        });
        let actions = targets.into_iter().map(|target| {
            let ping = self.message(0, ProbeKind::Ping);
            TableAction::Send(target.address, ping)
        });
        actions.collect()
    }

    /// Digest of the hosts that are not dead. Suspicions are temporary and are left out.
    pub(super) fn digest(&self) -> u64 {
        self.all()
            .filter(|update| update.state != MemberState::Dead)
            .fold(0, |sum, update| sum ^ mix_hash(update.incarnation.0, 1))
    }
}
