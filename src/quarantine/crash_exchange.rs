//! How crash trackers exchange crashes with each other and with the store.

use super::crash_record::{InterruptedRun, RunChange};
use super::crash_tracker::{CRASH_RETENTION, CrashTracker, RETURN_PERIOD};
use super::resend_schedule::ResendSchedule;
use super::send_order::send_order;
use super::{CrashReport, CrashUpdate, InterruptedRequest};
use crate::keys::TimePoint;
use std::cmp::Reverse;
use std::time::Duration;

/// Maximum number of keys in one message between hosts: at up to 14 bytes each, they fit into one datagram.
pub(super) const MAX_MESSAGE_KEYS: usize = 96;
/// Maximum number of crashes in a full report, which goes to the store or to a host that synchronizes its state. The
/// most recent crashes are included.
const MAX_REPORTED: usize = 256;

impl CrashTracker {
    /// Merges the report of another host. Anything new in it is scheduled for sending to further hosts.
    pub fn merge(&mut self, now: TimePoint, report: &CrashReport) {
        for update in &report.clearances {
            let at = now - Duration::from_millis(update.age_ms.into());
            if now.since(at) < CRASH_RETENTION {
                self.clear(at, update.request);
            }
        }
        for update in &report.crashes {
            if self.merge_crash(now, update) {
                self.schedule_sends(update.server);
            }
        }
        self.trim();
    }

    /// Merges the copy in the store. Returns true if the copy lacks something that this tracker has.
    pub fn merge_saved(&mut self, now: TimePoint, saved: &[CrashUpdate]) -> bool {
        for update in saved {
            if self.merge_crash(now, update) {
                self.schedule_sends(update.server);
            }
            if let Some(record) = self.crashes.get_mut(&update.server) {
                record.is_saved = record.is_in(update);
            }
        }
        self.trim();
        self.is_unsaved()
    }

    /// Whether the copy in the store lacks something.
    pub fn is_unsaved(&self) -> bool {
        self.crashes.values().any(|record| !record.is_saved)
    }

    /// A full report: the most recent crashes and all clearances.
    pub fn full_report(&self, now: TimePoint) -> CrashReport {
        let mut newest: Vec<_> =
            self.crashes.iter().filter(|(_, record)| !record.requests.is_empty()).collect();
        newest.sort_by_key(|(server, record)| (Reverse(record.idle_since), **server));
        newest.truncate(MAX_REPORTED);
        CrashReport {
            crashes: newest.into_iter().map(|(key, record)| record.update(now, *key)).collect(),
            clearances: self.clearances.all(now),
        }
    }

    /// Records that the store holds a copy of `written`. Crashes that did not fit into the copy count as saved.
    pub fn record_saved(&mut self, written: &[CrashUpdate]) {
        let is_complete = written.len() < MAX_REPORTED;
        for (server, record) in &mut self.crashes {
            let copy = written.iter().find(|update| update.server == *server);
            let is_left_out = !is_complete || record.requests.is_empty();
            record.is_saved = copy.map_or(is_left_out, |copy| record.is_in(copy));
        }
    }

    /// The next report to send to other hosts. Its size is bounded.
    pub fn unsent(&mut self, now: TimePoint) -> CrashReport {
        self.record_received(now);
        self.schedule_resends(now);
        let mut keys_left = MAX_MESSAGE_KEYS;
        let due = send_order(self.crashes.iter().map(|(key, record)| (*key, record.sends_left)));
        let mut crashes = Vec::new();
        for server in due {
            let Some(record) = self.crashes.get_mut(&server) else { continue };
            let size = record.requests.len() + 1;
            if size > keys_left {
                break;
            }
            keys_left -= size;
            record.sends_left -= 1;
            crashes.push(record.update(now, server));
        }
        CrashReport { crashes, clearances: self.clearances.unsent(now, keys_left) }
    }

    fn merge_crash(&mut self, now: TimePoint, update: &CrashUpdate) -> bool {
        let at = now - Duration::from_millis(update.age_ms.into());
        let idle_since = now - Duration::from_millis(update.idle_ms.into());
        if now.since(idle_since) >= CRASH_RETENTION {
            return false;
        }
        let mut is_new = false;
        for InterruptedRequest { request, ran_ms } in &update.requests {
            let started_at = at - Duration::from_millis((*ran_ms).into());
            let run = InterruptedRun { request: *request, started_at };
            is_new |= self.add(now, at, idle_since, update.server, run) != RunChange::Unchanged;
        }
        if let Some(record) = self.crashes.get_mut(&update.server) {
            let has_returned = idle_since.since(record.idle_since) >= RETURN_PERIOD / 2;
            record.idle_since = record.idle_since.max(idle_since);
            is_new |= has_returned;
        }
        is_new
    }

    fn schedule_resends(&mut self, now: TimePoint) {
        if !self.resends.take_due(now) {
            return;
        }
        for record in self.crashes.values_mut() {
            let is_recent = ResendSchedule::is_recent(now, record.crashed_at);
            if is_recent && !record.requests.is_empty() {
                record.sends_left = record.sends_left.max(1);
            }
        }
    }
}
