//! The lease over sequences of events: three hosts and one store, writes that are done, lost, or done late, with and
//! without an answer, and hosts that stand still or start anew under their old names.
//!
//! Guards against orders of two hosts within the lease, fences that go down, and fences of two hosts.

use proptest::prelude::*;
use proptest_state_machine::prop_state_machine;
use std::time::Duration;
use tealcleat::keys::{IncarnationId, TimePoint};
use tealcleat::orders::{LeaseHolder, LeaseRecord, OrderLease};

mod model_common;

use model_common::{ModelTest, ModelWorld, model_config};

const HOSTS: usize = 3;
/// Two of the processes have one name: one stood still while the other was started in its place.
const NAMES: [&str; HOSTS] = ["a", "a", "b"];
const LEASE: Duration = Duration::from_secs(3);

fn holder(index: usize) -> LeaseHolder {
    let process = Some(IncarnationId(index as u64));
    LeaseHolder { host: NAMES[index].to_owned(), process }
}

/// What becomes of a write, and of its answer.
#[derive(Debug, Clone, Copy)]
enum WriteFate {
    /// Done or refused by the store, and answered.
    Answered,
    /// Done unless the record has changed; the answer is lost.
    AnswerLost,
    /// Not done, without an answer.
    Lost,
    /// Not done yet, without an answer; done later unless the record has changed.
    Late,
}

#[derive(Debug, Clone)]
enum Event {
    /// A host takes the next step of a renewal: it reads the record, writes, or takes the answer.
    Step(usize, WriteFate),
    /// A host gives an order if it may.
    Order(usize),
    /// A write that was delayed reaches the store.
    Land(usize),
    /// A host starts anew under its old name.
    Restart(usize),
    Pass(u64),
}

/// A write on its way.
#[derive(Debug, Clone)]
struct PendingWrite {
    expected: u64,
    record: LeaseRecord,
}

/// How far a host's renewal is.
#[derive(Debug, Clone, Default)]
enum Renewal {
    #[default]
    Idle,
    Read {
        held: Option<LeaseRecord>,
        expected: u64,
    },
    Sent {
        held: Option<LeaseRecord>,
        record: LeaseRecord,
        sent_at: TimePoint,
        /// `None` if no answer comes.
        is_written: Option<bool>,
    },
}

#[derive(Debug, Default)]
struct LeaseWorld {
    now: u64,
    revision: u64,
    stored: Option<LeaseRecord>,
    late: Vec<PendingWrite>,
    hosts: [(OrderLease, Renewal); HOSTS],
    /// Host, fence and time of each order.
    orders: Vec<(usize, u64, u64)>,
}

impl LeaseWorld {
    fn write(&mut self, write: PendingWrite) -> bool {
        let is_done = write.expected == self.revision;
        if is_done {
            self.revision += 1;
            self.stored = Some(write.record);
        }
        is_done
    }

    fn step(&mut self, index: usize, fate: WriteFate) {
        let now = TimePoint::from_millis(self.now);
        let renewal = std::mem::take(&mut self.hosts[index].1);
        let next = match renewal {
            Renewal::Idle => {
                let held = self.stored.clone();
                self.hosts[index].0.record_read(now, held.as_ref(), &holder(index), LEASE);
                Renewal::Read { held, expected: self.revision }
            }
            Renewal::Read { held, expected } => {
                let record = OrderLease::next_record(held.as_ref(), &holder(index));
                let write = PendingWrite { expected, record: record.clone() };
                let is_written = match fate {
                    WriteFate::Answered => Some(self.write(write)),
                    WriteFate::AnswerLost => {
                        self.write(write);
                        None
                    }
                    WriteFate::Lost => None,
                    WriteFate::Late => {
                        self.late.push(write);
                        None
                    }
                };
                Renewal::Sent { held, record, sent_at: now, is_written }
            }
            Renewal::Sent { held, record, sent_at, is_written } => {
                let lease = &mut self.hosts[index].0;
                match is_written {
                    Some(true) => lease.record_write(sent_at, now, held.as_ref(), &record, LEASE),
                    Some(false) => {}
                    None => lease.record_unknown(held.as_ref(), &record),
                }
                Renewal::Idle
            }
        };
        self.hosts[index].1 = next;
    }

    fn order(&mut self, index: usize) {
        if let Some(fence) = self.hosts[index].0.fence(TimePoint::from_millis(self.now)) {
            self.orders.push((index, fence, self.now));
        }
    }

    fn check(&self) {
        for pair in self.orders.windows(2) {
            let [(former, former_fence, at), (next, fence, next_at)] = pair else { continue };
            assert!(fence >= former_fence, "a fence went down: {pair:?}");
            if former == next {
                continue;
            }
            assert!(fence > former_fence, "two hosts share a fence: {pair:?}");
            let gap = Duration::from_millis(next_at - at);
            assert!(gap >= LEASE, "orders of two hosts within the lease: {pair:?}");
        }
    }
}

impl ModelWorld for LeaseWorld {
    type Event = Event;

    fn start() -> Self {
        Self::default()
    }

    fn draw() -> BoxedStrategy<Event> {
        let fate = prop_oneof![
            4 => Just(WriteFate::Answered),
            2 => Just(WriteFate::AnswerLost),
            1 => Just(WriteFate::Lost),
            1 => Just(WriteFate::Late),
        ];
        prop_oneof![
            12 => (0..HOSTS, fate).prop_map(|(host, fate)| Event::Step(host, fate)),
            4 => (0..HOSTS).prop_map(Event::Order),
            1 => (0..4_usize).prop_map(Event::Land),
            1 => (0..HOSTS).prop_map(Event::Restart),
            3 => prop_oneof![Just(100), Just(900), Just(4600)].prop_map(Event::Pass),
        ]
        .boxed()
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Step(host, fate) => self.step(host, fate),
            Event::Order(host) => self.order(host),
            Event::Land(index) if index < self.late.len() => {
                let write = self.late.remove(index);
                self.write(write);
            }
            Event::Land(_) => {}
            Event::Restart(host) => self.hosts[host] = Default::default(),
            Event::Pass(millis) => self.now += millis,
        }
        self.check();
    }
}

prop_state_machine! {
    #![proptest_config(model_config(72))]

    #[test]
    fn lease_model_orders_of_one_host_at_a_time(sequential 1..60 => ModelTest<LeaseWorld>);
}
