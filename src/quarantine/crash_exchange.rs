//! What books of crashes hand over to each other, and to the store.

use super::crash_record::{AddedRun, InterruptedRun};
use super::crash_tracker::{CRASH_RETENTION, CrashTracker, RETURN_PERIOD};
use super::{CrashReport, CrashUpdate, InterruptedRequest};
use crate::keys::{ServerKey, TimePoint};
use std::cmp::Reverse;
use std::time::Duration;

/// Requests in one message between hosts: at up to 14 bytes each within one datagram.
const KEYS_PER_MESSAGE: usize = 96;
/// Crashes handed over at once, to a host that compares notes or to the store: the newest ones.
const MOST_HANDED_OVER: usize = 256;
/// A crash this young is told again now and then, for hosts that were cut off when it was told first.
const REPEAT_LIFE: Duration = Duration::from_secs(20);
/// Pause between these repeats.
const REPEAT_PERIOD: Duration = Duration::from_secs(1);

impl CrashTracker {
    /// Takes over what another host told; what is new is told on.
    pub fn merge(&mut self, now: TimePoint, report: &CrashReport) {
        for news in &report.clearances {
            let at = now - Duration::from_millis(news.age_ms.into());
            if now.since(at) < CRASH_RETENTION {
                self.clear(at, news.request);
            }
        }
        for news in &report.crashes {
            if self.merge_crash(now, news) {
                self.schedule_sends(news.server);
            }
        }
        self.trim();
    }

    /// Takes over the store's copy; true if it lacks something that this book has.
    pub fn merge_saved(&mut self, now: TimePoint, saved: &[CrashUpdate]) -> bool {
        for news in saved {
            if self.merge_crash(now, news) {
                self.schedule_sends(news.server);
            }
            if let Some(record) = self.crashes.get_mut(&news.server) {
                record.is_saved = record.is_in(news);
            }
        }
        self.trim();
        self.is_unsaved()
    }

    /// Whether the store's copy lacks something.
    pub fn is_unsaved(&self) -> bool {
        self.crashes.values().any(|record| !record.is_saved)
    }

    /// All that is handed over at once.
    pub fn full_report(&self, now: TimePoint) -> CrashReport {
        let mut newest: Vec<_> =
            self.crashes.iter().filter(|(_, record)| !record.requests.is_empty()).collect();
        newest.sort_by_key(|(server, record)| (Reverse(record.idle_since), **server));
        newest.truncate(MOST_HANDED_OVER);
        CrashReport {
            crashes: newest.into_iter().map(|(key, record)| record.update(now, *key)).collect(),
            clearances: self.clearances.all(now),
        }
    }

    /// The store has a copy of `written`; what did not fit into it stays out.
    pub fn record_saved(&mut self, written: &[CrashUpdate]) {
        let fits_all = written.len() < MOST_HANDED_OVER;
        for (server, record) in &mut self.crashes {
            let copy = written.iter().find(|news| news.server == *server);
            let is_out = !fits_all || record.requests.is_empty();
            record.is_saved = copy.map_or(is_out, |copy| record.is_in(copy));
        }
    }

    /// What is to be told next; bounded, whatever there is.
    pub fn unsent(&mut self, now: TimePoint) -> CrashReport {
        self.record_received(now);
        self.schedule_resends(now);
        let mut keys_left = KEYS_PER_MESSAGE;
        let mut due: Vec<ServerKey> =
            self.crashes.iter().filter(|(_, r)| r.sends_left > 0).map(|(key, _)| *key).collect();
        due.sort_by_key(|key| (Reverse(self.crashes[key].sends_left), *key));
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

    fn merge_crash(&mut self, now: TimePoint, news: &CrashUpdate) -> bool {
        let at = now - Duration::from_millis(news.age_ms.into());
        let idle_since = now - Duration::from_millis(news.idle_ms.into());
        if now.since(idle_since) >= CRASH_RETENTION {
            return false;
        }
        let mut is_new = false;
        for InterruptedRequest { request, ran_ms } in &news.requests {
            let began_at = at - Duration::from_millis((*ran_ms).into());
            let run = InterruptedRun { request: *request, started_at: began_at };
            is_new |= self.add(now, at, idle_since, news.server, run) != AddedRun::Known;
        }
        if let Some(record) = self.crashes.get_mut(&news.server) {
            let returned = idle_since.since(record.idle_since) >= RETURN_PERIOD / 2;
            record.idle_since = record.idle_since.max(idle_since);
            is_new |= returned;
        }
        is_new
    }

    fn schedule_resends(&mut self, now: TimePoint) {
        if now.since(self.resent_at) < REPEAT_PERIOD {
            return;
        }
        self.resent_at = now;
        for record in self.crashes.values_mut() {
            let is_recent = now.since(record.crashed_at) < REPEAT_LIFE;
            if is_recent && !record.requests.is_empty() {
                record.sends_left = record.sends_left.max(1);
            }
        }
    }
}
