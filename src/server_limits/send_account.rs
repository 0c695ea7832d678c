//! The owner's account of one server: its bucket, and what each host sent to the server.

use super::send_ledger::{COUNT_WINDOW, LEARN_TIME};
use super::{CallRank, PermitDecision, PermitPurpose, PermitRequest, SendHistory, ServerLimit};
use crate::keys::{IncarnationId, TimePoint};
use crate::limits::{LimitBucket, LimitShare};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

/// The burst is what the limit allows in this time, plus one request. A smaller burst would lose units that accumulate
/// between two permit requests: one in twenty at a limit of three a second.
const BURST_TIME: Duration = Duration::from_millis(250);
/// Nothing is granted while the window contains more than this ratio of what the limit allows in it, plus
/// [`COUNT_SLACK`] requests. In steady state the bucket keeps the ratio at about one; the rest allows for what other
/// owners granted in the meantime. A server tolerates a ratio of one and a half, plus five requests.
const COUNT_RATIO: f64 = 1.25;
const COUNT_SLACK: f64 = 3.0;
/// How long permit requests count as demand of their rank.
const DEMAND_WINDOW: Duration = Duration::from_secs(2);
/// Maximum number of permit requests that count as demand.
const MAX_DEMAND: usize = 256;
/// Fraction of a limit that is kept for less urgent requests, whatever the demand of more urgent ones, so that no rank
/// starves.
const MIN_SHARE: f64 = 0.25;
/// Longest wait after which a refused caller is told to retry.
const MAX_RETRY_WAIT: Duration = Duration::from_secs(10);
/// Number of decisions that are kept per host for permit requests that arrive twice.
const MAX_DECISIONS: usize = 8;

/// The sends that one host reported, and the last decisions on its permit requests.
#[derive(Debug, Default)]
struct HostHistory {
    sequence: u32,
    received_at: TimePoint,
    history: SendHistory,
    decisions: VecDeque<(u32, PermitDecision)>,
}

/// One server's account.
#[derive(Debug)]
pub(super) struct SendAccount {
    opened_at: TimePoint,
    bucket: LimitBucket,
    /// The bucket of each rank for times when there is demand from more urgent ranks.
    rank_buckets: BTreeMap<CallRank, LimitBucket>,
    demand: VecDeque<(TimePoint, CallRank)>,
    histories: HashMap<IncarnationId, HostHistory>,
    /// The time at which the last refused caller was told to retry.
    last_retry_at: TimePoint,
}

impl SendAccount {
    pub fn new(now: TimePoint) -> Self {
        Self {
            opened_at: now,
            bucket: LimitBucket::new(now, 0.0),
            rank_buckets: BTreeMap::new(),
            demand: VecDeque::new(),
            histories: HashMap::new(),
            last_retry_at: now,
        }
    }

    /// Decides on a permit request.
    pub fn receive(
        &mut self,
        now: TimePoint,
        from: IncarnationId,
        request: &PermitRequest,
        limit: ServerLimit,
    ) -> PermitDecision {
        if let Some(decision) = self.decided(from, request.sequence) {
            return decision;
        }
        self.apply_history(now, from, request);
        let share = share(limit);
        self.bucket.clamp(now, &share);
        let decision = match request.purpose {
            PermitPurpose::Send => self.decide(now, request.rank, limit),
            PermitPurpose::RetryAfter => self.schedule_retry(now, request.rank, limit),
            PermitPurpose::Release => {
                self.bucket.charge(now, &share, -1.0);
                PermitDecision::Granted
            }
            PermitPurpose::Report => PermitDecision::Granted,
        };
        let host = self.histories.entry(from).or_default();
        if request.purpose == PermitPurpose::Send && decision == PermitDecision::Granted {
            // The send counts from now on, before its host reports it.
            host.history.add_now();
        }
        host.decisions.push_back((request.sequence, decision));
        if host.decisions.len() > MAX_DECISIONS {
            host.decisions.pop_front();
        }
        decision
    }

    /// Drops hosts whose sends are all older than the window.
    pub fn expire(&mut self, now: TimePoint) {
        self.histories.retain(|_, host| now.since(host.received_at) < COUNT_WINDOW);
    }

    /// The earlier decision on a permit request that arrives again because its reply was lost.
    fn decided(&self, from: IncarnationId, sequence: u32) -> Option<PermitDecision> {
        let decisions = &self.histories.get(&from)?.decisions;
        decisions.iter().find(|(decided, _)| *decided == sequence).map(|(_, decision)| *decision)
    }

    /// Replaces the history of a host. A history is complete and not a difference, so the next one makes up for one that
    /// was lost or late.
    fn apply_history(&mut self, now: TimePoint, from: IncarnationId, request: &PermitRequest) {
        let host = self.histories.entry(from).or_default();
        if request.sequence >= host.sequence {
            host.sequence = request.sequence;
            host.received_at = now;
            host.history.clone_from(&request.history);
        }
    }

    fn decide(&mut self, now: TimePoint, rank: CallRank, limit: ServerLimit) -> PermitDecision {
        self.record_demand(now, rank);
        let wait = self.wait(now, rank, limit);
        if !wait.is_zero() {
            return refused(wait);
        }
        self.bucket.charge(now, &share(limit), 1.0);
        if let Some(share) = self.rank_share(now, rank, limit) {
            self.rank_buckets.entry(rank).and_modify(|bucket| bucket.charge(now, &share, 1.0));
        }
        PermitDecision::Granted
    }

    /// How long until the next request of a rank may be sent; zero if it may be sent now.
    fn wait(&mut self, now: TimePoint, rank: CallRank, limit: ServerLimit) -> Duration {
        let learn_wait = (self.opened_at + LEARN_TIME).since(now);
        let window_wait = self.window_wait(now, limit);
        let bucket_wait = self.bucket.wait_for(now, &share(limit), 1.0);
        let rank_wait = self.rank_share(now, rank, limit).map_or(Duration::ZERO, |share| {
            let bucket =
                self.rank_buckets.entry(rank).or_insert_with(|| LimitBucket::new(now, 0.0));
            bucket.wait_for(now, &share, 1.0)
        });
        learn_wait.max(window_wait).max(bucket_wait).max(rank_wait)
    }

    /// How long the window contains too many requests, because some were sent before the limit was known or were granted
    /// by another owner.
    fn window_wait(&self, now: TimePoint, limit: ServerLimit) -> Duration {
        let allowed = limit.per_second() * COUNT_WINDOW.as_secs_f64();
        let allowed = allowed.mul_add(COUNT_RATIO, COUNT_SLACK);
        let histories = self.histories.values();
        let mut sent: Vec<(Duration, u32)> = histories
            .flat_map(|host| host.history.within(now.since(host.received_at), COUNT_WINDOW))
            .collect();
        let count: u32 = sent.iter().map(|(_, count)| count).sum();
        let mut excess = f64::from(count) - allowed;
        sent.sort_by_key(|(age, _)| std::cmp::Reverse(*age));
        let mut wait = Duration::ZERO;
        for (age, count) in sent {
            if excess <= 0.0 {
                break;
            }
            excess -= f64::from(count);
            wait = COUNT_WINDOW - age;
        }
        wait
    }

    /// The share of the limit that a rank has while there is demand from more urgent ranks; `None` without such demand.
    fn rank_share(&self, now: TimePoint, rank: CallRank, limit: ServerLimit) -> Option<LimitShare> {
        let recent = self.demand.iter().filter(|(at, _)| now.since(*at) < DEMAND_WINDOW);
        let urgent_count = recent.filter(|(_, other)| *other < rank).count();
        if urgent_count == 0 {
            return None;
        }
        let whole = limit.per_second();
        let rest = whole - urgent_count as f64 / DEMAND_WINDOW.as_secs_f64();
        Some(LimitShare { rate: rest.max(whole * MIN_SHARE), burst: 1.0, initial: 0.0 })
    }

    fn record_demand(&mut self, now: TimePoint, rank: CallRank) {
        self.demand.push_back((now, rank));
        if self.demand.len() > MAX_DEMAND {
            self.demand.pop_front();
        }
    }

    /// Schedules when a refused caller may retry. Callers are scheduled one after the other, at the rate that the limit
    /// allows.
    fn schedule_retry(
        &mut self,
        now: TimePoint,
        rank: CallRank,
        limit: ServerLimit,
    ) -> PermitDecision {
        let next = now + self.wait(now, rank, limit);
        let interval =
            Duration::try_from_secs_f64(1.0 / limit.per_second()).unwrap_or(MAX_RETRY_WAIT);
        let latest = now + MAX_RETRY_WAIT;
        let at = next.max(self.last_retry_at + interval.min(MAX_RETRY_WAIT)).min(latest);
        self.last_retry_at = at;
        refused(at.since(now))
    }
}

fn share(limit: ServerLimit) -> LimitShare {
    let rate = limit.per_second();
    LimitShare { rate, burst: rate.mul_add(BURST_TIME.as_secs_f64(), 1.0), initial: 0.0 }
}

fn refused(wait: Duration) -> PermitDecision {
    PermitDecision::Refused { wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX).max(1) }
}
