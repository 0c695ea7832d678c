//! How part trackers exchange crashes and clearances with each other and with the store.

use super::crash_exchange::MAX_MESSAGE_KEYS;
use super::crash_record::whole_millis;
use super::crash_tracker::CRASH_RETENTION;
use super::part_record::ClearedPart;
use super::part_tracker::PartTracker;
use super::part_verdict::SuspectRun;
use super::resend_schedule::ResendSchedule;
use super::send_order::send_order;
use super::{PartClearance, PartCrash, PartReport, SuspectRequest};
use crate::keys::{PartKey, TimePoint};
use std::time::Duration;

impl PartTracker {
    /// Merges the report of another host. Anything new in it is scheduled for sending to further hosts.
    pub fn merge(&mut self, now: TimePoint, report: &PartReport) {
        let mut is_changed = false;
        for PartClearance { part, age_ms } in &report.clearances {
            let at = now - Duration::from_millis((*age_ms).into());
            if now.since(at) < CRASH_RETENTION {
                is_changed |= self.clear(at, *part);
            }
        }
        for crash in &report.crashes {
            if self.merge_crash(now, crash) {
                self.schedule_sends(crash.server);
                is_changed = true;
            }
        }
        if is_changed {
            self.weigh();
        }
    }

    /// Merges the copy in the store. Returns true if the copy lacks something that this tracker has.
    pub fn merge_saved(&mut self, now: TimePoint, saved: &[PartCrash]) -> bool {
        let mut is_changed = false;
        for crash in saved {
            if self.merge_crash(now, crash) {
                self.schedule_sends(crash.server);
                is_changed = true;
            }
        }
        self.record_saved(saved);
        if is_changed {
            self.weigh();
        }
        self.is_unsaved()
    }

    /// Whether the copy in the store lacks something.
    pub fn is_unsaved(&self) -> bool {
        self.crashes.values().any(|record| !record.is_saved)
    }

    /// All crashes and clearances.
    pub fn full_report(&self, now: TimePoint) -> PartReport {
        let mut crashes: Vec<PartCrash> =
            self.crashes.iter().map(|(key, record)| record.update(now, *key)).collect();
        crashes.sort_by_key(|crash| (crash.age_ms, crash.server));
        let cleared = self.cleared.iter().map(|(part, cleared)| clearance(now, *part, cleared));
        PartReport { crashes, clearances: cleared.collect() }
    }

    /// Records that the store holds a copy of `written`.
    pub fn record_saved(&mut self, written: &[PartCrash]) {
        for (server, record) in &mut self.crashes {
            let copy = written.iter().find(|crash| crash.server == *server);
            let is_copied = |run: &SuspectRun| {
                let requests = copy.map(|crash| &crash.requests).into_iter().flatten();
                requests.into_iter().any(|copied| copied.request == run.request)
            };
            record.is_saved = record.runs.iter().all(is_copied);
        }
    }

    /// The next report to send to other hosts. Its size is bounded.
    pub fn unsent(&mut self, now: TimePoint) -> PartReport {
        self.record_received(now);
        self.schedule_resends(now);
        let mut keys_left = MAX_MESSAGE_KEYS;
        let due = send_order(self.crashes.iter().map(|(key, record)| (*key, record.sends_left)));
        let mut crashes = Vec::new();
        for server in due {
            let Some(record) = self.crashes.get_mut(&server) else { continue };
            let size = 1 + record.runs.iter().map(|run| run.parts.len() + 2).sum::<usize>();
            if size > keys_left {
                // A crash that fits into no message goes to the store and into full reports only.
                record.sends_left = record.sends_left.saturating_sub(u8::from(crashes.is_empty()));
                break;
            }
            keys_left -= size;
            record.sends_left -= 1;
            crashes.push(record.update(now, server));
        }
        let due = self.cleared.iter_mut().filter(|(_, cleared)| cleared.sends_left > 0);
        let clearances = due.take(keys_left).map(|(part, cleared)| {
            cleared.sends_left -= 1;
            clearance(now, *part, cleared)
        });
        PartReport { crashes, clearances: clearances.collect() }
    }

    fn merge_crash(&mut self, now: TimePoint, crash: &PartCrash) -> bool {
        let at = now - Duration::from_millis(crash.age_ms.into());
        if now.since(at) >= CRASH_RETENTION {
            return false;
        }
        let mut is_new = false;
        for SuspectRequest { request, ran_ms, parts } in &crash.requests {
            let started_at = at - Duration::from_millis((*ran_ms).into());
            let run = SuspectRun { request: *request, started_at, parts: parts.clone() };
            is_new |= self.add(now, at, crash.server, run);
        }
        is_new
    }

    fn schedule_resends(&mut self, now: TimePoint) {
        if !self.resends.take_due(now) {
            return;
        }
        for record in self.crashes.values_mut() {
            if ResendSchedule::is_recent(now, record.crashed_at) {
                record.sends_left = record.sends_left.max(1);
            }
        }
    }
}

fn clearance(now: TimePoint, part: PartKey, cleared: &ClearedPart) -> PartClearance {
    PartClearance { part, age_ms: whole_millis(now.since(cleared.written_at)) }
}
