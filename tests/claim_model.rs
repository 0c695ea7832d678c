//! Claims over sequences of events: three hosts and one bucket of the store, writes that are done, lost, done without an
//! answer or done late, and claims that are given up or given back.
//!
//! Guards against two attempts that run for one key, because an outcome that was unknown is taken for something else.

use proptest::prelude::*;
use proptest_state_machine::prop_state_machine;
use std::collections::HashMap;
use tealcleat::claims::{
    BucketCall, BucketValue, ClaimBucket, ClaimKey, ClaimRecord, ClaimRequest, ClaimVerdict,
};
use tealcleat::keys::{AttemptId, IncarnationId, TimePoint};

mod model_common;

use model_common::{ModelTest, ModelWorld, model_config};

const HOSTS: usize = 3;
const KEYS: u64 = 2;
/// Consecutive calls without an answer after which a host refuses all waiting claims.
const MAX_LOST_CALLS: u32 = 2;
const SECONDS: u64 = 1_000_000;

/// What becomes of a call to the store, and of its answer.
#[derive(Debug, Clone, Copy)]
enum CallFate {
    Answered,
    /// Done if it is a write whose version is current; the answer is lost.
    AnswerLost,
    /// Not done.
    Lost,
    /// A write that is done later, if its version is still current then.
    Late,
}

#[derive(Debug, Clone)]
enum Event {
    /// A host claims a key for a new attempt.
    Take(usize, u64),
    /// A host gives up waiting for its oldest claim.
    Cancel(usize),
    /// A host gives the claim of its oldest attempt back that may not run.
    Release(usize),
    /// A host makes the next call of its bucket.
    Call(usize, CallFate),
    /// A write that was delayed reaches the store.
    Land(usize),
    Pass(u64),
}

#[derive(Debug, Default)]
struct ClaimHost {
    bucket: ClaimBucket,
    waiting: Vec<ClaimRecord>,
    /// Attempts that may never run.
    refused: Vec<ClaimRecord>,
    lost_calls: u32,
}

#[derive(Debug, Default)]
struct ClaimWorld {
    now: u64,
    version: u64,
    stored: BucketValue,
    late: Vec<(u64, BucketValue)>,
    hosts: [ClaimHost; HOSTS],
    next_serial: u64,
    /// The attempts that ran, by key.
    runs: HashMap<u64, Vec<AttemptId>>,
}

impl ClaimWorld {
    fn write(&mut self, expected: u64, value: BucketValue) -> bool {
        let is_done = expected == self.version;
        if is_done {
            self.version += 1;
            self.stored = value;
        }
        is_done
    }

    fn take(&mut self, host: usize, key: u64) {
        self.next_serial += 1;
        let attempt = AttemptId { owner: IncarnationId(host as u64), serial: self.next_serial };
        let record = ClaimRecord { key: ClaimKey(key, 0), attempt, body: 5, at_seconds: SECONDS };
        assert_eq!(self.hosts[host].bucket.submit(ClaimRequest::Take(record)), None);
        self.hosts[host].waiting.push(record);
    }

    fn cancel(&mut self, host: usize) {
        let host = &mut self.hosts[host];
        if !host.waiting.is_empty() {
            let record = host.waiting.remove(0);
            host.bucket.cancel(record.attempt);
            host.refused.push(record);
        }
    }

    fn release(&mut self, host: usize) {
        let host = &mut self.hosts[host];
        if let Some(record) = host.refused.pop() {
            host.bucket.submit(ClaimRequest::Release(record.key, record.attempt));
        }
    }

    fn call(&mut self, host: usize, fate: CallFate) {
        let now = TimePoint::from_millis(self.now);
        let Some(call) = self.hosts[host].bucket.next_call(now, SECONDS) else { return };
        let verdicts = match call {
            BucketCall::Read => match fate {
                CallFate::Answered => {
                    self.hosts[host].lost_calls = 0;
                    let value = self.stored.clone();
                    self.hosts[host].bucket.on_read(self.version, value)
                }
                CallFate::AnswerLost | CallFate::Lost | CallFate::Late => self.lose_call(host),
            },
            BucketCall::Write { expected, value } => match fate {
                CallFate::Answered => {
                    self.hosts[host].lost_calls = 0;
                    if self.write(expected, value.clone()) {
                        self.hosts[host].bucket.on_written(self.version, value)
                    } else {
                        self.hosts[host].bucket.on_conflict();
                        Vec::new()
                    }
                }
                CallFate::AnswerLost => {
                    self.write(expected, value);
                    self.lose_call(host)
                }
                CallFate::Lost => self.lose_call(host),
                CallFate::Late => {
                    self.late.push((expected, value));
                    self.lose_call(host)
                }
            },
        };
        for (attempt, verdict) in verdicts {
            self.settle(host, attempt, verdict);
        }
    }

    fn lose_call(&mut self, host: usize) -> Vec<(AttemptId, ClaimVerdict)> {
        let host = &mut self.hosts[host];
        host.lost_calls += 1;
        if host.lost_calls >= MAX_LOST_CALLS {
            host.lost_calls = 0;
            return host.bucket.on_failed();
        }
        host.bucket.on_lost();
        Vec::new()
    }

    fn settle(&mut self, host: usize, attempt: AttemptId, verdict: ClaimVerdict) {
        let host = &mut self.hosts[host];
        let Some(index) = host.waiting.iter().position(|record| record.attempt == attempt) else {
            return;
        };
        let record = host.waiting.remove(index);
        match verdict {
            ClaimVerdict::Granted => {
                self.runs.entry(record.key.0).or_default().push(attempt);
            }
            ClaimVerdict::Taken(_) | ClaimVerdict::Unsettled => host.refused.push(record),
        }
    }

    fn check(&self) {
        for (key, attempts) in &self.runs {
            assert!(attempts.len() < 2, "two attempts ran for key {key}: {attempts:?}");
        }
    }
}

impl ModelWorld for ClaimWorld {
    type Event = Event;

    fn start() -> Self {
        Self::default()
    }

    fn draw() -> BoxedStrategy<Event> {
        let fate = prop_oneof![
            3 => Just(CallFate::Answered),
            2 => Just(CallFate::AnswerLost),
            1 => Just(CallFate::Lost),
            1 => Just(CallFate::Late),
        ];
        prop_oneof![
            3 => (0..HOSTS, 0..KEYS).prop_map(|(host, key)| Event::Take(host, key)),
            1 => (0..HOSTS).prop_map(Event::Cancel),
            1 => (0..HOSTS).prop_map(Event::Release),
            10 => (0..HOSTS, fate).prop_map(|(host, fate)| Event::Call(host, fate)),
            2 => (0..4_usize).prop_map(Event::Land),
            3 => prop_oneof![Just(10), Just(250)].prop_map(Event::Pass),
        ]
        .boxed()
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Take(host, key) => self.take(host, key),
            Event::Cancel(host) => self.cancel(host),
            Event::Release(host) => self.release(host),
            Event::Call(host, fate) => self.call(host, fate),
            Event::Land(index) if index < self.late.len() => {
                let (expected, value) = self.late.remove(index);
                self.write(expected, value);
            }
            Event::Land(_) => {}
            Event::Pass(millis) => self.now += millis,
        }
        self.check();
    }
}

prop_state_machine! {
    #![proptest_config(model_config(75))]

    #[test]
    fn claim_model_runs_one_attempt_for_a_key(sequential 1..60 => ModelTest<ClaimWorld>);
}
