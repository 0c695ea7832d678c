use super::clearance_table::ClearanceTable;
use super::crash_record::{AddedRun, CrashRecord, InterruptedRun, TELLS};
use super::crash_verdict::{CRASHES_TO_HOLD, CrashIndex};
use super::served_requests::{SERVED_LIFE, ServedRequests};
use super::{ConnectionLoss, CrashEvidence, RequestVerdict};
use crate::keys::{RequestKey, ServerKey, TimePoint};
use std::collections::HashMap;
use std::time::Duration;

/// A crash is remembered this long after it, or after the last return of a request that was there and is held back.
/// Whoever waits that long is sent on again: what it asked for may have been mended.
pub const CRASH_RETENTION: Duration = Duration::from_secs(600);
/// Crashes kept. With some ten requests each 230 KB, with 64 each 1.2 MB (reckoned).
const MOST_CRASHES: usize = 1024;
/// Returns of a request that is held back are told to the others this often.
pub(super) const RETURN_PERIOD: Duration = Duration::from_secs(60);
/// Requests of which a trial is remembered.
const MOST_TRIALS: usize = 256;
/// News of who was at a crash are complete this long after a host learned of it: others find out within 0.3 s that a
/// server which broke off has ended, and all of 300 hosts hear of it within half a second more.
pub const SETTLE_TIME: Duration = Duration::from_millis(800);
/// How long after its last crash a request that is held back on weak grounds is tried: the servers are back, and
/// others that may have been the cause are known.
pub const TRIAL_DELAY: Duration = Duration::from_secs(30);

/// Crashes of servers, who was there, and who has been answered whole.
#[derive(Debug, Clone, Default)]
pub struct CrashTracker {
    pub(super) crashes: HashMap<ServerKey, CrashRecord>,
    /// Servers that crashed under each request.
    requests: HashMap<RequestKey, Vec<ServerKey>>,
    served: ServedRequests,
    pub(super) clearances: ClearanceTable,
    /// Requests that were tried, and when.
    trials: HashMap<RequestKey, TimePoint>,
    pub(super) resent_at: TimePoint,
    /// Until when this host took part in the exchange of news: not beyond the moment at which it was suspended.
    pub(super) received_until: TimePoint,
}

impl CrashTracker {
    /// Whether the crash of a life of a server is known.
    pub fn has_crashed(&self, server: ServerKey) -> bool {
        self.crashes.contains_key(&server)
    }

    /// A server crashed right now while it worked on a request, of which it is not known how long it had been there; true if
    /// that is new and speaks against the request.
    pub fn record_crash(&mut self, now: TimePoint, server: ServerKey, request: RequestKey) -> bool {
        self.record_loss(now, server, &ConnectionLoss { request, sent_at: now, lost_at: now })
    }

    /// A server turned out to have crashed when it broke off a request; true if that is new and speaks against the
    /// request.
    pub fn record_loss(
        &mut self,
        now: TimePoint,
        server: ServerKey,
        broken: &ConnectionLoss,
    ) -> bool {
        let ConnectionLoss { request, sent_at, lost_at } = *broken;
        let run = InterruptedRun { request, started_at: sent_at };
        let added = self.add(now, lost_at, now, server, run);
        if added != AddedRun::Known {
            self.schedule_sends(server);
            self.trim();
        }
        added == AddedRun::New
    }

    /// A request was answered whole: it is not what crashes servers.
    pub fn record_served(&mut self, now: TimePoint, request: RequestKey) {
        self.served.record(now, request);
        if self.requests.contains_key(&request) {
            self.clear(now, request);
        }
    }

    /// What speaks against a request.
    pub fn evidence(&self, request: RequestKey) -> CrashEvidence {
        self.index().evidence(request)
    }

    /// Whether all that is known speaks against a request, however young it is.
    pub fn is_held(&self, request: RequestKey) -> bool {
        self.requests.contains_key(&request) && self.evidence(request).is_enough()
    }

    /// What becomes of a request. Of a crash a host at first knows only the requests that were there by way of itself,
    /// so that each of them seems to have been alone; the others' news of who else was there follow.
    pub fn verdict(&self, request: RequestKey) -> RequestVerdict {
        if !self.is_held(request) {
            return RequestVerdict::Free;
        }
        let settled = |record: &CrashRecord| self.settled_in(record).is_zero();
        if self.index().evidence_from(request, settled).is_enough() {
            return RequestVerdict::Held;
        }
        let servers = self.requests.get(&request).into_iter().flatten();
        let records = servers.filter_map(|server| self.crashes.get(server));
        let waits = records.map(|record| self.settled_in(record)).filter(|wait| !wait.is_zero());
        RequestVerdict::Unsettled { wait: waits.min().unwrap_or_default() }
    }

    /// How much longer news of who was at a crash may come.
    fn settled_in(&self, record: &CrashRecord) -> Duration {
        SETTLE_TIME.saturating_sub(self.received_until.since(record.learned_at))
    }

    /// This host has heard all news until now. If it did not for long, it was suspended, and what came meanwhile is yet
    /// to be read.
    pub(super) fn record_received(&mut self, now: TimePoint) {
        let last = std::mem::replace(&mut self.received_until, now);
        if now.since(last) < SETTLE_TIME {
            return;
        }
        for record in self.crashes.values_mut() {
            if last.since(record.learned_at) < SETTLE_TIME {
                record.learned_at = now;
            }
        }
    }

    /// Whether a request that is held back may be sent once more, to find out whether it was held back for others'
    /// crashes: whole answers speak for an innocent one, but while it is held back everywhere there are none. Only
    /// one that was never alone at a crash is tried, and once; of crashing requests few are.
    ///
    /// One host must decide this for all.
    pub fn take_trial(&mut self, now: TimePoint, request: RequestKey) -> bool {
        let servers = self.requests.get(&request).into_iter().flatten();
        let crashes = servers.filter_map(|server| self.crashes.get(server));
        let last = crashes.map(|record| record.crashed_at).max();
        let is_due = last.is_some_and(|at| now.since(at) >= TRIAL_DELAY);
        let is_weak = !self.evidence(request).was_alone;
        let may_be = is_due && is_weak && self.trials.len() < MOST_TRIALS;
        may_be && self.trials.insert(request, now).is_none()
    }

    /// A request that is held back came again: its crashes are remembered from now on.
    pub fn record_return(&mut self, now: TimePoint, request: RequestKey) {
        for server in self.requests.get(&request).into_iter().flatten() {
            let Some(record) = self.crashes.get_mut(server) else { continue };
            record.idle_since = now;
            if now.since(record.return_sent_at) >= RETURN_PERIOD {
                record.return_sent_at = now;
                record.sends_left = TELLS;
            }
        }
    }

    /// Forgets what is long past.
    pub fn expire(&mut self, now: TimePoint) {
        self.served.expire(now);
        self.clearances.retain(|at| now.since(at) < CRASH_RETENTION);
        self.trials.retain(|_, at| now.since(*at) < CRASH_RETENTION);
        let old = |record: &CrashRecord| now.since(record.idle_since) >= CRASH_RETENTION;
        let due: Vec<ServerKey> =
            self.crashes.iter().filter(|(_, record)| old(record)).map(|(key, _)| *key).collect();
        for server in due {
            self.remove(server);
        }
    }

    /// Crashes that are kept.
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

    /// Adds a request to a crash, unless a whole answer speaks for it.
    pub(super) fn add(
        &mut self,
        now: TimePoint,
        at: TimePoint,
        idle_since: TimePoint,
        server: ServerKey,
        run: InterruptedRun,
    ) -> AddedRun {
        let request = run.request;
        let acquitted = self.clearances.at(request);
        if acquitted.is_some_and(|acquitted| acquitted + SERVED_LIFE > at) {
            return AddedRun::Known;
        }
        if self.served.contains(request) {
            self.clearances.record(at, request);
            return AddedRun::Known;
        }
        let record = self.crashes.entry(server);
        let record = record.or_insert_with(|| CrashRecord::new(now, at, idle_since));
        // The host that noticed it first is the nearest to the moment.
        record.crashed_at = record.crashed_at.min(at);
        let added = record.add(run);
        if added == AddedRun::New {
            self.requests.entry(request).or_default().push(server);
        }
        added
    }

    pub(super) fn schedule_sends(&mut self, server: ServerKey) {
        if let Some(record) = self.crashes.get_mut(&server) {
            record.sends_left = TELLS;
            record.is_saved = false;
        }
    }

    pub(super) fn clear(&mut self, at: TimePoint, request: RequestKey) {
        if !self.clearances.record(at, request) {
            return;
        }
        let Some(servers) = self.requests.remove(&request) else { return };
        let (cleared, kept): (Vec<_>, Vec<_>) = servers.into_iter().partition(|server| {
            self.crashes.get(server).is_none_or(|record| at + SERVED_LIFE > record.crashed_at)
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

    /// Keeps the book within its size: crashes that hold a request back stay longest.
    pub(super) fn trim(&mut self) {
        while self.crashes.len() > MOST_CRASHES {
            let is_needed = |record: &CrashRecord| {
                let runs = record.requests.iter();
                let counts = runs.filter_map(|run| self.requests.get(&run.request));
                counts.into_iter().any(|servers| servers.len() >= CRASHES_TO_HOLD)
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
