use super::{PrefillEntry, PrefillRequest, RefusalReason};
use crate::keys::{AttemptId, OrgKey, TimePoint};
use std::collections::BTreeSet;
use std::time::Duration;

/// Prefills submitted to the engine at a time: one that runs and one that waits, so that the engine
/// is never idle.
const MAX_STARTED: usize = 2;
/// The second prefill is submitted this long before the first is expected to end.
const SUBMIT_LEAD: Duration = Duration::from_millis(15);
/// Weight of one measurement in the moving average of the time per token.
const RATE_WEIGHT: f64 = 0.2;

#[derive(Debug, Clone, Copy)]
struct StartedPrefill {
    attempt: AttemptId,
    started_at: TimePoint,
    work: Duration,
}

/// Queue of one prefill server, kept by the owner of the server.
///
/// The queue is ordered by rank: the earliest deadline first. While several organisations wait, each has an equal
/// share of the waiting work, and one with more is postponed by the excess. Admission simulates the queue in rank
/// order and refuses a prefill that would finish late or make an admitted one late, judged by the amount of work
/// rather than by the number of requests. What was done before does not count.
#[derive(Debug)]
pub struct PrefillQueue {
    micros_per_token: f64,
    waiting: Vec<PrefillEntry>,
    started: Vec<StartedPrefill>,
    /// End of the work that the engine already held when this queue was rebuilt; the attempts that it
    /// belongs to are unknown.
    busy_until: TimePoint,
}

impl PrefillQueue {
    /// An empty queue of a server that processes `tokens_per_second`.
    pub fn new(tokens_per_second: f64) -> Self {
        Self {
            micros_per_token: 1e6 / tokens_per_second.max(1.0),
            waiting: Vec::new(),
            started: Vec::new(),
            busy_until: TimePoint::CLOCK_START,
        }
    }

    /// Processing time of `tokens` uncached prompt tokens.
    pub fn work(&self, tokens: u32) -> Duration {
        Duration::from_micros((f64::from(tokens) * self.micros_per_token) as u64)
    }

    /// Admitted prefills that have not started.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// When the work submitted to the engine is expected to end.
    fn engine_free_at(&self, now: TimePoint) -> TimePoint {
        let mut free_at = TimePoint::CLOCK_START;
        for started in &self.started {
            free_at = free_at.max(started.started_at) + started.work;
        }
        free_at.max(now).max(self.busy_until)
    }

    /// Records that the engine is busy until `moment` with work that this queue did not submit.
    pub fn record_busy(&mut self, moment: TimePoint) {
        self.busy_until = self.busy_until.max(moment);
    }

    /// Time until all admitted work is expected to end, after which a retry makes sense.
    pub fn backlog(&self, now: TimePoint) -> Duration {
        self.engine_free_at(now).since(now) + self.waiting_work(|_| true)
    }

    /// Returns when `request` would finish. It depends on the work before it, on its own work and on
    /// the time that its caller has, and not on the size of its prompt or on what others were told.
    ///
    /// # Errors
    /// Returns the reason if the prefill would be late or would make an admitted one late.
    pub fn quote(
        &self,
        now: TimePoint,
        request: &PrefillRequest,
    ) -> Result<TimePoint, RefusalReason> {
        let rank = self.rank(request);
        let excess = rank.since(request.finish_by);
        let finish = self.finish_time(now, request);
        if finish + excess > request.finish_by {
            return Err(RefusalReason::TooLate);
        }
        let mut simulated_at = finish;
        for entry in self.waiting.iter().skip_while(|entry| entry.rank <= rank) {
            simulated_at =
                simulated_at.max(entry.request.not_before) + self.work(entry.request.tokens);
            if simulated_at > entry.request.finish_by {
                return Err(RefusalReason::CrowdsOthers);
            }
        }
        Ok(finish)
    }

    /// Admits `request` into the queue and returns when it is expected to finish.
    ///
    /// # Errors
    /// Returns the reason if the prefill would be late or would make an admitted one late.
    pub fn admit(
        &mut self,
        now: TimePoint,
        request: PrefillRequest,
    ) -> Result<TimePoint, RefusalReason> {
        let finish = self.quote(now, &request)?;
        let rank = self.rank(&request);
        let index = self.waiting.partition_point(|entry| entry.rank <= rank);
        self.waiting.insert(index, PrefillEntry { request, rank, queued_at: now });
        let is_sorted = self.waiting.windows(2).all(|pair| pair[0].rank <= pair[1].rank);
        crate::invariant!(is_sorted, "queue_order", "ranks out of order");
        Ok(finish)
    }

    /// Starts and returns the next prefill if the engine is about to become free.
    pub fn start_next(&mut self, now: TimePoint) -> Option<PrefillEntry> {
        let has_capacity = match self.started.len() {
            0 => true,
            started if started < MAX_STARTED => {
                self.engine_free_at(now).since(now) <= SUBMIT_LEAD && self.is_on_time(now)
            }
            _ => false,
        };
        if !has_capacity {
            return None;
        }
        let is_due = |entry: &PrefillEntry| entry.request.not_before <= now + SUBMIT_LEAD;
        let index = self.waiting.iter().position(is_due)?;
        let entry = self.waiting.remove(index);
        let work = self.work(entry.request.tokens);
        self.started.push(StartedPrefill { attempt: entry.request.attempt, started_at: now, work });
        crate::invariant!(self.started.len() <= MAX_STARTED, "lane_depth", "too many started");
        Some(entry)
    }

    /// Time until [`Self::start_next`] should be called again, or `None` if the queue is empty.
    pub fn next_wake(&self, now: TimePoint) -> Option<Duration> {
        if self.waiting.is_empty() {
            return None;
        }
        let until = self.engine_free_at(now).since(now).saturating_sub(SUBMIT_LEAD);
        Some(until.clamp(Duration::from_millis(1), Duration::from_millis(20)))
    }

    /// Records that the engine finished `attempt`, spending `took` on `tokens` uncached tokens.
    pub fn finish(&mut self, attempt: AttemptId, tokens: u32, took: Duration) {
        if self.remove(attempt) && tokens >= 32 {
            let observed = took.as_micros() as f64 / f64::from(tokens);
            self.micros_per_token += RATE_WEIGHT * (observed - self.micros_per_token);
        }
    }

    /// Removes `attempt`, whether waiting or started; returns whether it was present.
    pub fn remove(&mut self, attempt: AttemptId) -> bool {
        let count_before = self.waiting.len() + self.started.len();
        self.waiting.retain(|entry| entry.request.attempt != attempt);
        self.started.retain(|started| started.attempt != attempt);
        count_before != self.waiting.len() + self.started.len()
    }

    /// Removes waiting entries that can no longer finish in time, which are returned, and started
    /// ones that are long overdue.
    pub fn expire(&mut self, now: TimePoint, overdue: Duration) -> Vec<AttemptId> {
        let late: Vec<AttemptId> = self
            .waiting
            .iter()
            .filter(|entry| {
                now + self.work(entry.request.tokens) > entry.request.finish_by + overdue
            })
            .map(|entry| entry.request.attempt)
            .collect();
        self.waiting.retain(|entry| !late.contains(&entry.request.attempt));
        self.started.retain(|started| now.since(started.started_at) < started.work * 2 + overdue);
        late
    }

    fn is_on_time(&self, now: TimePoint) -> bool {
        // An engine whose current prefill is overdue receives no further work until it answers.
        self.started.first().is_none_or(|first| now.since(first.started_at) < first.work * 2)
    }

    fn rank(&self, request: &PrefillRequest) -> TimePoint {
        request.finish_by + self.excess_work(request.org)
    }

    /// Work that `org` has waiting beyond an equal share among the organisations that wait.
    fn excess_work(&self, org: OrgKey) -> Duration {
        let orgs: BTreeSet<OrgKey> = self.waiting.iter().map(|entry| entry.request.org).collect();
        let own = self.waiting_work(|entry| entry.request.org == org);
        let share = self.waiting_work(|_| true) / orgs.len().max(1) as u32;
        own.saturating_sub(share)
    }

    fn waiting_work(&self, is_counted: impl Fn(&PrefillEntry) -> bool) -> Duration {
        let counted = self.waiting.iter().filter(|entry| is_counted(entry));
        counted.map(|entry| self.work(entry.request.tokens)).sum()
    }

    fn finish_time(&self, now: TimePoint, request: &PrefillRequest) -> TimePoint {
        let rank = self.rank(request);
        let ahead: Duration = self
            .waiting
            .iter()
            .take_while(|entry| entry.rank <= rank)
            .map(|entry| self.work(entry.request.tokens))
            .sum();
        (self.engine_free_at(now) + ahead).max(request.not_before) + self.work(request.tokens)
    }
}
