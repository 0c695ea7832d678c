use super::clearance_table::ClearanceTable;
use super::crash_record::{CrashRecord, InterruptedRun, RunChange, UPDATE_SENDS};
use super::crash_verdict::{CRASHES_TO_HOLD, CrashIndex};
use super::receipt_clock::ReceiptClock;
use super::receipt_clock::SETTLE_TIME;
use super::recent_keys::RecentKeys;
use super::resend_schedule::ResendSchedule;
use super::{ConnectionLoss, CrashEvidence, RequestVerdict};
use crate::keys::{RequestKey, ServerKey, TimePoint};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// How long a crash is kept after it happened, or after a caller last sent one of its requests again while that request
/// was held back. A caller that waits this long gets through again, because the cause may have been fixed.
pub const CRASH_RETENTION: Duration = Duration::from_secs(600);
/// Maximum number of crashes kept: an estimated 230 KB with about ten requests each, 1.2 MB with 64 each.
const MAX_CRASHES: usize = 1024;
/// Minimum interval between two reports to other hosts that a caller sent a held request again.
pub(super) const RETURN_PERIOD: Duration = Duration::from_secs(60);
/// Maximum number of requests whose trial is remembered.
const MAX_TRIALS: usize = 256;
/// A full answer up to this long before a crash clears a request just like one after the crash, because the same
/// contents always have the same effect on a server.
const SERVED_LIFETIME: Duration = Duration::from_secs(10);
/// How long after its last crash a request that is held back on weak evidence is tried. By then the servers are back,
/// and other requests that may have caused the crashes are known.
pub const TRIAL_DELAY: Duration = Duration::from_secs(30);

/// Crashes of servers, the requests in flight at each of them, and the requests that were answered in full.
#[derive(Debug, Clone)]
pub struct CrashTracker {
    pub(super) crashes: HashMap<ServerKey, CrashRecord>,
    /// Servers that crashed while each request was in flight.
    requests: HashMap<RequestKey, Vec<ServerKey>>,
    /// Requests that were recently answered in full.
    served: RecentKeys<RequestKey>,
    pub(super) clearances: ClearanceTable,
    /// Requests that were tried, and when.
    trials: HashMap<RequestKey, TimePoint>,
    pub(super) resends: ResendSchedule,
    clock: ReceiptClock,
}

impl Default for CrashTracker {
    fn default() -> Self {
        Self {
            crashes: HashMap::new(),
            requests: HashMap::new(),
            served: RecentKeys::new(SERVED_LIFETIME),
            clearances: ClearanceTable::default(),
            trials: HashMap::new(),
            resends: ResendSchedule::default(),
            clock: ReceiptClock::default(),
        }
    }
}

impl CrashTracker {
    /// Whether the crash of a server incarnation is known.
    pub fn has_crashed(&self, server: ServerKey) -> bool {
        self.crashes.contains_key(&server)
    }

    /// Whether a server incarnation crashed while it processed a request that is held back because it crashes servers.
    pub fn was_crashed_by_request(&self, server: ServerKey) -> bool {
        let record = self.crashes.get(&server);
        record.is_some_and(|record| record.requests.iter().any(|run| self.is_held(run.request)))
    }

    /// Records that a server crashed at `now` while it processed a request whose run time is unknown. Returns true if
    /// this is new evidence against the request.
    pub fn record_crash(&mut self, now: TimePoint, server: ServerKey, request: RequestKey) -> bool {
        let unwritten_parts = Arc::default();
        let loss = ConnectionLoss { request, sent_at: now, lost_at: now, unwritten_parts };
        self.record_loss(now, server, &loss)
    }

    /// Records that a server had crashed when it broke off the connection of a request. Returns true if this is new
    /// evidence against the request.
    pub fn record_loss(
        &mut self,
        now: TimePoint,
        server: ServerKey,
        loss: &ConnectionLoss,
    ) -> bool {
        let ConnectionLoss { request, sent_at, lost_at, .. } = *loss;
        let run = InterruptedRun { request, started_at: sent_at };
        let change = self.add(now, lost_at, now, server, run);
        if change != RunChange::Unchanged {
            self.schedule_sends(server);
            self.trim();
        }
        change == RunChange::New
    }

    /// Records that a request was answered in full, which shows that it does not crash servers.
    pub fn record_served(&mut self, now: TimePoint, request: RequestKey) {
        self.served.record(now, request);
        if self.requests.contains_key(&request) {
            self.clear(now, request);
        }
    }

    /// The evidence against a request.
    pub fn evidence(&self, request: RequestKey) -> CrashEvidence {
        self.index().evidence(request)
    }

    /// Whether the evidence suffices to hold a request back, counting crashes that may still get updates.
    pub fn is_held(&self, request: RequestKey) -> bool {
        self.requests.contains_key(&request) && self.evidence(request).is_enough()
    }

    /// Decides what to do with a request. A host at first knows only those requests in flight at a crash that it sent
    /// itself, so each of them seems to have been alone. Updates from other hosts name the remaining requests.
    pub fn verdict(&self, request: RequestKey) -> RequestVerdict {
        if !self.is_held(request) {
            return RequestVerdict::Free;
        }
        let is_settled = |record: &CrashRecord| self.settle_wait(record).is_zero();
        if self.index().evidence_from(request, is_settled).is_enough() {
            return RequestVerdict::Held;
        }
        let servers = self.requests.get(&request).into_iter().flatten();
        let records = servers.filter_map(|server| self.crashes.get(server));
        let waits = records.map(|record| self.settle_wait(record)).filter(|wait| !wait.is_zero());
        RequestVerdict::Unsettled { wait: waits.min().unwrap_or_default() }
    }

    /// How much longer updates about a crash may arrive.
    fn settle_wait(&self, record: &CrashRecord) -> Duration {
        self.clock.settle_wait(record.learned_at)
    }

    /// Records that this host has received all updates until `now`.
    pub(super) fn record_received(&mut self, now: TimePoint) {
        let Some(last) = self.clock.advance(now) else { return };
        for record in self.crashes.values_mut() {
            if last.since(record.learned_at) < SETTLE_TIME {
                record.learned_at = now;
            }
        }
    }

    /// Whether a request that is held back may be forwarded once, to find out whether other requests caused its
    /// crashes. A full answer clears an innocent request, but it gets none while all hosts hold it back. Only a request
    /// that was never alone at a crash is tried, and only once; few crashing requests are never alone.
    ///
    /// Exactly one host must decide this for all hosts.
    pub fn take_trial(&mut self, now: TimePoint, request: RequestKey) -> bool {
        let servers = self.requests.get(&request).into_iter().flatten();
        let crashes = servers.filter_map(|server| self.crashes.get(server));
        let last = crashes.map(|record| record.crashed_at).max();
        let is_due = last.is_some_and(|at| now.since(at) >= TRIAL_DELAY);
        let is_weak = !self.evidence(request).was_alone;
        let is_allowed = is_due && is_weak && self.trials.len() < MAX_TRIALS;
        is_allowed && self.trials.insert(request, now).is_none()
    }

    /// Records that a caller sent a held request again, which restarts the retention of its crashes.
    pub fn record_return(&mut self, now: TimePoint, request: RequestKey) {
        for server in self.requests.get(&request).into_iter().flatten() {
            let Some(record) = self.crashes.get_mut(server) else { continue };
            record.idle_since = now;
            if now.since(record.return_sent_at) >= RETURN_PERIOD {
                record.return_sent_at = now;
                record.sends_left = UPDATE_SENDS;
            }
        }
    }

    /// Drops everything past its retention.
    pub fn expire(&mut self, now: TimePoint) {
        self.served.expire(now);
        self.clearances.retain(|at| now.since(at) < CRASH_RETENTION);
        self.trials.retain(|_, at| now.since(*at) < CRASH_RETENTION);
        let is_old = |record: &CrashRecord| now.since(record.idle_since) >= CRASH_RETENTION;
        let due: Vec<ServerKey> =
            self.crashes.iter().filter(|(_, record)| is_old(record)).map(|(key, _)| *key).collect();
        for server in due {
            self.remove(server);
        }
    }

    /// Number of crashes kept.
    pub fn len(&self) -> usize {
        self.crashes.len()
    }

    /// Whether no crash is known.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    fn index(&self) -> CrashIndex<'_> {
        CrashIndex { crashes: &self.crashes, requests: &self.requests }
    }

    /// Adds a request to a crash, unless a full answer clears it.
    pub(super) fn add(
        &mut self,
        now: TimePoint,
        at: TimePoint,
        idle_since: TimePoint,
        server: ServerKey,
        run: InterruptedRun,
    ) -> RunChange {
        let request = run.request;
        let cleared_at = self.clearances.cleared_at(request);
        if cleared_at.is_some_and(|cleared_at| cleared_at + SERVED_LIFETIME > at) {
            return RunChange::Unchanged;
        }
        if self.served.contains(request) {
            self.clearances.record(at, request);
            return RunChange::Unchanged;
        }
        let record = self.crashes.entry(server);
        let record = record.or_insert_with(|| CrashRecord::new(now, at, idle_since));
        // The earliest detection is the closest to the actual time of the crash.
        record.crashed_at = record.crashed_at.min(at);
        let change = record.add(run);
        if change == RunChange::New {
            self.requests.entry(request).or_default().push(server);
        }
        change
    }

    pub(super) fn schedule_sends(&mut self, server: ServerKey) {
        if let Some(record) = self.crashes.get_mut(&server) {
            record.sends_left = UPDATE_SENDS;
            record.is_saved = false;
        }
    }

    pub(super) fn clear(&mut self, at: TimePoint, request: RequestKey) {
        if !self.clearances.record(at, request) {
            return;
        }
        let Some(servers) = self.requests.remove(&request) else { return };
        let (cleared, kept): (Vec<_>, Vec<_>) = servers.into_iter().partition(|server| {
            self.crashes.get(server).is_none_or(|record| at + SERVED_LIFETIME > record.crashed_at)
        });
        for server in cleared {
            if let Some(record) = self.crashes.get_mut(&server) {
                record.requests.retain(|run| run.request != request);
            }
        }
        if !kept.is_empty() {
            self.requests.insert(request, kept);
        }
    }

    /// Removes crashes beyond [`MAX_CRASHES`]. Crashes that count towards holding a request back are removed last.
    pub(super) fn trim(&mut self) {
        while self.crashes.len() > MAX_CRASHES {
            let is_needed = |record: &CrashRecord| {
                let runs = record.requests.iter();
                let crashed_servers = runs.filter_map(|run| self.requests.get(&run.request));
                crashed_servers.into_iter().any(|servers| servers.len() >= CRASHES_TO_HOLD)
            };
            let least = self
                .crashes
                .iter()
                .min_by_key(|(key, record)| (is_needed(record), record.idle_since, **key));
            let Some(least) = least.map(|(key, _)| *key) else { return };
            self.remove(least);
        }
    }

    fn remove(&mut self, server: ServerKey) {
        let Some(record) = self.crashes.remove(&server) else { return };
        for InterruptedRun { request, .. } in record.requests {
            let Some(servers) = self.requests.get_mut(&request) else { continue };
            servers.retain(|other| *other != server);
            if servers.is_empty() {
                self.requests.remove(&request);
            }
        }
    }
}
