use super::claim_parts::{ClaimHost, StoreAnswer, StoreCall};
use super::{InjectedBug, WorldReport};
use crate::claims::{
    BucketCall, BucketValue, ClaimKey, ClaimRecord, ClaimRequest, ClaimVerdict, KeyStatus,
    StoredAnswer,
};
use crate::keys::{AttemptId, TimePoint};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::time::Duration;

const HOSTS: usize = 4;
const KEYS: u64 = 40;
const STEP: Duration = Duration::from_millis(10);
const BODY_HASH: u64 = 7;

/// Presents idempotency keys to several hosts while the store loses answers and hosts crash and pause.
#[derive(Debug)]
struct ClaimWorld {
    rng: StdRng,
    now: TimePoint,
    hosts: Vec<ClaimHost>,
    calls: Vec<StoreCall>,
    version: u64,
    value: BucketValue,
    outage_until: TimePoint,
    next_incarnation: u64,
    runs: BTreeMap<ClaimKey, u32>,
    answers: BTreeMap<ClaimKey, u32>,
    bug: InjectedBug,
    report: WorldReport,
}

/// Simulates at-most-once claims.
pub fn run_claim_world(seed: u64, steps: u64, bug: InjectedBug) -> WorldReport {
    let mut world = ClaimWorld {
        rng: StdRng::seed_from_u64(seed),
        now: TimePoint::from_millis(1000),
        hosts: (1..=HOSTS as u64).map(ClaimHost::new).collect(),
        calls: Vec::new(),
        version: 0,
        value: BucketValue::default(),
        outage_until: TimePoint::CLOCK_START,
        next_incarnation: HOSTS as u64 + 1,
        runs: BTreeMap::new(),
        answers: BTreeMap::new(),
        bug,
        report: WorldReport::default(),
    };
    for _ in 0..steps {
        world.step();
    }
    world.report.steps = steps;
    world.report
}

impl ClaimWorld {
    fn step(&mut self) {
        self.now = self.now + STEP;
        self.inject_faults();
        if self.rng.random_bool(0.3) {
            self.present();
        }
        self.run_store();
        self.finish_runs();
        for host in 0..HOSTS {
            if self.hosts[host].paused_until <= self.now && !self.hosts[host].has_pending_call {
                self.send_store_call(host);
            }
        }
    }

    fn inject_faults(&mut self) {
        if self.rng.random_bool(0.004) {
            let host = self.rng.random_range(0..HOSTS);
            self.hosts[host] = ClaimHost::new(self.next_incarnation);
            self.next_incarnation += 1;
            self.report.faults += 1;
        }
        if self.rng.random_bool(0.01) {
            let host = self.rng.random_range(0..HOSTS);
            let pause = Duration::from_millis(self.rng.random_range(50..3000));
            self.hosts[host].paused_until = self.now + pause;
            self.report.faults += 1;
        }
        if self.rng.random_bool(0.003) {
            let outage = Duration::from_millis(self.rng.random_range(100..4000));
            self.outage_until = self.now + outage;
            self.report.faults += 1;
        }
    }

    fn present(&mut self) {
        let index = self.rng.random_range(0..HOSTS);
        if self.hosts[index].paused_until > self.now {
            return;
        }
        // Keys advance slowly, so that each is retried for a while, at any host.
        let base = self.report.tried / 12;
        let key = ClaimKey(base + self.rng.random_range(0..KEYS), 1);
        self.report.tried += 1;
        let status = self.hosts[index].outcomes.present(key, BODY_HASH);
        if status != KeyStatus::NeverSeen {
            return self.record_status(key, status);
        }
        let host = &mut self.hosts[index];
        host.serial += 1;
        let attempt = AttemptId { owner: host.incarnation, serial: host.serial };
        host.outcomes.begin(self.now, key, attempt, BODY_HASH);
        host.waiting.insert(attempt, key);
        let record = ClaimRecord { key, attempt, body: BODY_HASH, at_seconds: 0 };
        if let Some(verdict) = host.bucket.submit(ClaimRequest::Take(record)) {
            self.apply_verdicts(index, vec![(attempt, verdict)]);
        }
    }

    fn record_status(&mut self, key: ClaimKey, status: KeyStatus) {
        match status {
            KeyStatus::Answer(_) => {
                let count = self.answers.entry(key).or_default();
                *count += 1;
                if *count > 1 {
                    self.report.record_violation(format!("{key:?} was answered twice"));
                }
                self.report.done += 1;
            }
            KeyStatus::NotRun => {
                let running = self.hosts.iter().any(|host| host.running.iter().any(|r| r.1 == key));
                if running || self.runs.contains_key(&key) {
                    self.report.record_violation(format!("{key:?} ran, but was told not run"));
                }
            }
            _ => {}
        }
    }

    fn send_store_call(&mut self, index: usize) {
        let Some(operation) = self.hosts[index].bucket.next_call(self.now, 1) else { return };
        self.hosts[index].has_pending_call = true;
        // Some writes are delayed in the network and take effect long after their timeout.
        let is_delayed = self.rng.random_bool(0.05);
        let delay = self.rng.random_range(1..30) + if is_delayed { 1500 } else { 0 };
        let arrives_at = self.now + Duration::from_millis(delay);
        let is_lost = is_delayed || self.rng.random_bool(0.12);
        let answers_at = if is_lost {
            self.now + Duration::from_millis(800)
        } else {
            arrives_at + Duration::from_millis(self.rng.random_range(1..30))
        };
        self.calls.push(StoreCall {
            host: index,
            incarnation: self.hosts[index].incarnation,
            operation,
            arrives_at,
            answers_at,
            has_arrived: false,
            answer: None,
            is_lost,
        });
    }

    fn run_store(&mut self) {
        let is_down = self.outage_until > self.now;
        let mut calls = std::mem::take(&mut self.calls);
        for call in calls.iter_mut().filter(|call| !call.has_arrived) {
            if call.arrives_at <= self.now {
                call.has_arrived = true;
                call.answer = Some(self.apply_operation(is_down, &call.operation));
            }
        }
        let now = self.now;
        for call in calls.iter_mut().filter(|call| call.answers_at <= now) {
            self.deliver_answer(call);
        }
        calls.retain(|call| call.answers_at > now || !call.has_arrived);
        self.calls.append(&mut calls);
    }

    fn apply_operation(&mut self, is_down: bool, operation: &BucketCall) -> StoreAnswer {
        if is_down {
            return StoreAnswer::Refused;
        }
        match operation {
            BucketCall::Read => StoreAnswer::Read(self.version, self.value.clone()),
            BucketCall::Write { expected, value } if *expected == self.version => {
                self.version += 1;
                self.value = value.clone();
                StoreAnswer::Written(self.version, value.clone())
            }
            BucketCall::Write { .. } => StoreAnswer::Conflict,
        }
    }

    fn deliver_answer(&mut self, call: &mut StoreCall) {
        let host = &mut self.hosts[call.host];
        let is_current = host.incarnation == call.incarnation;
        let is_first =
            std::mem::replace(&mut call.answers_at, TimePoint(i64::MAX)) != TimePoint(i64::MAX);
        if !is_current || !is_first {
            return;
        }
        if host.paused_until > self.now {
            call.answers_at = host.paused_until;
            return;
        }
        host.has_pending_call = false;
        let bucket = &mut host.bucket;
        let verdicts = match (call.is_lost, call.answer.take()) {
            (true, _) | (_, None) => match (&call.operation, self.bug) {
                (BucketCall::Write { expected, value }, InjectedBug::AssumeWriteSucceeded) => {
                    bucket.on_written(expected + 1, value.clone())
                }
                _ if self.rng.random_bool(0.3) => bucket.on_failed(),
                _ => {
                    bucket.on_lost();
                    Vec::new()
                }
            },
            (false, Some(StoreAnswer::Read(version, value))) => bucket.on_read(version, value),
            (false, Some(StoreAnswer::Written(version, value))) => {
                bucket.on_written(version, value)
            }
            (false, Some(StoreAnswer::Conflict)) => {
                bucket.on_conflict();
                Vec::new()
            }
            (false, Some(StoreAnswer::Refused)) => bucket.on_failed(),
        };
        self.apply_verdicts(call.host, verdicts);
    }

    fn apply_verdicts(&mut self, index: usize, verdicts: Vec<(AttemptId, ClaimVerdict)>) {
        for (attempt, verdict) in verdicts {
            let Some(key) = self.hosts[index].waiting.remove(&attempt) else { continue };
            match verdict {
                ClaimVerdict::Granted => {
                    let ends_at = self.now + Duration::from_millis(self.rng.random_range(10..200));
                    let is_reached = self.rng.random_bool(0.9);
                    if is_reached {
                        self.record_run(key);
                    }
                    self.hosts[index].running.push((attempt, key, ends_at, is_reached));
                }
                ClaimVerdict::Unsettled => self.hosts[index].outcomes.abandon(key, attempt),
                ClaimVerdict::Taken(existing) => {
                    self.hosts[index].outcomes.abandon(key, attempt);
                    self.query_claimant(existing);
                }
            }
        }
    }

    fn query_claimant(&mut self, existing: ClaimRecord) {
        let (key, attempt) = (existing.key, existing.attempt);
        if self.bug == InjectedBug::SkipClaimantCheck {
            return self.record_status(key, KeyStatus::NotRun);
        }
        let now = self.now;
        let claimant = self
            .hosts
            .iter_mut()
            .find(|host| host.incarnation == attempt.owner && host.paused_until <= now);
        let Some(claimant) = claimant else { return };
        let status = claimant.outcomes.present_claimed(key, attempt, BODY_HASH);
        if status == KeyStatus::NotRun {
            let _ = claimant.bucket.submit(ClaimRequest::Release(key, attempt));
        }
        self.record_status(key, status);
    }

    fn record_run(&mut self, key: ClaimKey) {
        let count = self.runs.entry(key).or_default();
        *count += 1;
        if *count > 1 {
            self.report.record_violation(format!("{key:?} ran twice"));
        }
    }

    fn finish_runs(&mut self) {
        for index in 0..HOSTS {
            if self.hosts[index].paused_until > self.now {
                continue;
            }
            let now = self.now;
            let host = &mut self.hosts[index];
            for (attempt, key, _, is_reached) in host.running.extract_if(.., |run| run.2 <= now) {
                if !is_reached {
                    host.outcomes.abandon(key, attempt);
                    let _ = host.bucket.submit(ClaimRequest::Release(key, attempt));
                } else if self.rng.random_bool(0.1) {
                    host.outcomes.record_unknown(key, attempt);
                } else {
                    let answer = StoredAnswer { status: 200, body: bytes::Bytes::new() };
                    host.outcomes.record_answer(key, attempt, answer);
                }
            }
        }
    }
}
