//! What an owner knows of one server: how full its bucket is, and what each host sent there.

use super::send_ledger::{COUNT_WINDOW, LEARN_TIME};
use super::{CallRank, PermitDecision, PermitPurpose, PermitRequest, SendHistory, ServerLimit};
use crate::keys::{IncarnationId, TimePoint};
use crate::limits::{LimitBucket, LimitShare};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

/// Saved up for requests that come together: what a limit allows in this time, beside one request. With less, what
/// comes between two questions is lost: one part in twenty of a limit of three a second.
const BURST_TIME: Duration = Duration::from_millis(250);
/// Requests that a window may hold before nothing is granted, as a part of what the limit allows in it and in
/// requests beyond that. In steady state the bucket keeps it to about one part; the rest is for what other owners
/// granted meanwhile. What a server bears is one and a half parts and five requests.
const COUNT_PART: f64 = 1.25;
const COUNT_MORE: f64 = 3.0;
/// How long questions tell how much more urgent requests want.
const DEMAND_TIME: Duration = Duration::from_secs(2);
/// Questions of which that is told at most.
const MOST_DEMAND: usize = 256;
/// Part of a limit that less urgent requests have whatever more urgent ones want, so that none starves.
const LEAST_PART: f64 = 0.25;
/// The furthest moment to which a caller is told to come back.
const MOST_COME_BACK: Duration = Duration::from_secs(10);
/// Decisions kept for questions that are asked twice.
const KEPT_DECISIONS: usize = 8;

/// What one host told, and what it was told.
#[derive(Debug, Default)]
struct HostTrail {
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
    /// What requests of a rank have while more urgent ones want some, too.
    rank_buckets: BTreeMap<CallRank, LimitBucket>,
    demand: VecDeque<(TimePoint, CallRank)>,
    histories: HashMap<IncarnationId, HostTrail>,
    /// To when the last refused caller was told to come back.
    last_return_at: TimePoint,
}

impl SendAccount {
    pub fn new(now: TimePoint) -> Self {
        Self {
            opened_at: now,
            bucket: LimitBucket::new(now, 0.0),
            rank_buckets: BTreeMap::new(),
            demand: VecDeque::new(),
            histories: HashMap::new(),
            last_return_at: now,
        }
    }

    /// Decides on a question.
    pub fn receive(
        &mut self,
        now: TimePoint,
        from: IncarnationId,
        ask: &PermitRequest,
        limit: ServerLimit,
    ) -> PermitDecision {
        if let Some(decision) = self.decided(from, ask.sequence) {
            return decision;
        }
        self.apply_history(now, from, ask);
        let share = share(limit);
        self.bucket.clamp(now, &share);
        let decision = match ask.purpose {
            PermitPurpose::Send => self.decide(now, ask.rank, limit),
            PermitPurpose::RetryAfter => self.schedule_return(now, ask.rank, limit),
            PermitPurpose::Release => {
                self.bucket.charge(now, &share, -1.0);
                PermitDecision::Granted
            }
            PermitPurpose::Report => PermitDecision::Granted,
        };
        let host = self.histories.entry(from).or_default();
        if ask.purpose == PermitPurpose::Send && decision == PermitDecision::Granted {
            // Until its host tells it.
            host.history.add_now();
        }
        host.decisions.push_back((ask.sequence, decision));
        if host.decisions.len() > KEPT_DECISIONS {
            host.decisions.pop_front();
        }
        decision
    }

    /// Forgets hosts whose sends are all old.
    pub fn expire(&mut self, now: TimePoint) {
        self.histories.retain(|_, host| now.since(host.received_at) < COUNT_WINDOW);
    }

    /// What was decided on a question whose reply was lost.
    fn decided(&self, from: IncarnationId, sequence: u32) -> Option<PermitDecision> {
        let decisions = &self.histories.get(&from)?.decisions;
        decisions.iter().find(|(of, _)| *of == sequence).map(|(_, decision)| *decision)
    }

    /// A trail is a sum and not a difference: one that is lost or late is made good by the next one.
    fn apply_history(&mut self, now: TimePoint, from: IncarnationId, ask: &PermitRequest) {
        let host = self.histories.entry(from).or_default();
        if ask.sequence >= host.sequence {
            host.sequence = ask.sequence;
            host.received_at = now;
            host.history.clone_from(&ask.history);
        }
    }

    fn decide(&mut self, now: TimePoint, rank: CallRank, limit: ServerLimit) -> PermitDecision {
        self.record_demand(now, rank);
        let wait = self.wait(now, rank, limit);
        if !wait.is_zero() {
            return refused(wait);
        }
        self.bucket.charge(now, &share(limit), 1.0);
        if let Some(part) = self.rank_share(now, rank, limit) {
            self.rank_buckets.entry(rank).and_modify(|bucket| bucket.charge(now, &part, 1.0));
        }
        PermitDecision::Granted
    }

    /// When the next request of a rank may go; zero if that is now.
    fn wait(&mut self, now: TimePoint, rank: CallRank, limit: ServerLimit) -> Duration {
        let learning = (self.opened_at + LEARN_TIME).since(now);
        let counted = self.window_wait(now, limit);
        let filled = self.bucket.wait_for(now, &share(limit), 1.0);
        let parted = self.rank_share(now, rank, limit).map_or(Duration::ZERO, |part| {
            let bucket =
                self.rank_buckets.entry(rank).or_insert_with(|| LimitBucket::new(now, 0.0));
            bucket.wait_for(now, &part, 1.0)
        });
        learning.max(counted).max(filled).max(parted)
    }

    /// Until when the window holds too many requests: what was sent before the limit was known, or was granted by
    /// another owner.
    fn window_wait(&self, now: TimePoint, limit: ServerLimit) -> Duration {
        let allowed = limit.per_second() * COUNT_WINDOW.as_secs_f64();
        let allowed = allowed.mul_add(COUNT_PART, COUNT_MORE);
        let trails = self.histories.values();
        let mut sent: Vec<(Duration, u32)> = trails
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

    /// What a rank has for itself, if more urgent requests want a part of the limit.
    fn rank_share(&self, now: TimePoint, rank: CallRank, limit: ServerLimit) -> Option<LimitShare> {
        let recent = self.demand.iter().filter(|(at, _)| now.since(*at) < DEMAND_TIME);
        let urgent = recent.filter(|(_, of)| *of < rank).count();
        if urgent == 0 {
            return None;
        }
        let whole = limit.per_second();
        let rest = whole - urgent as f64 / DEMAND_TIME.as_secs_f64();
        Some(LimitShare { rate: rest.max(whole * LEAST_PART), burst: 1.0, initial: 0.0 })
    }

    fn record_demand(&mut self, now: TimePoint, rank: CallRank) {
        self.demand.push_back((now, rank));
        if self.demand.len() > MOST_DEMAND {
            self.demand.pop_front();
        }
    }

    /// When a caller that is refused may come back: callers are told one after the other, at the pace at which
    /// the limit lets them in.
    fn schedule_return(
        &mut self,
        now: TimePoint,
        rank: CallRank,
        limit: ServerLimit,
    ) -> PermitDecision {
        let next = now + self.wait(now, rank, limit);
        let pace = Duration::try_from_secs_f64(1.0 / limit.per_second()).unwrap_or(MOST_COME_BACK);
        let latest = now + MOST_COME_BACK;
        let at = next.max(self.last_return_at + pace.min(MOST_COME_BACK)).min(latest);
        self.last_return_at = at;
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
