//! Return times under load, without a network: hosts that exchange updates with delay and loss, in front of one pool of
//! memory.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use std::collections::BTreeMap;
use std::time::Duration;
use tealcleat::keys::{IncarnationId, NameKey, RequestKey, TimePoint};
use tealcleat::return_times::{RefusalCause, ReturnCalendar, ReturnRequest, ReturnUpdate};
use tealcleat::server_limits::CallRank;

const HOSTS: usize = 24;
const STEP_MS: u64 = 10;
/// Requests that the pool runs at a time; each stays for three seconds on average, so that 60 a second are served.
const PLACES: usize = 180;
const STAY_MS: u64 = 3000;
const CAPACITY: f64 = 60.0;
/// Demand apart from bursts and waves, as a multiple of the capacity.
const BASE: f64 = 0.75;

const DEADLINE_MS: u64 = 14_000;

/// Demand over time, as a multiple of the capacity.
#[derive(Debug, Clone, Copy)]
enum Load {
    Burst {
        from_ms: u64,
        to_ms: u64,
        factor: f64,
    },
    /// Requests that all arrive at once, besides the base load.
    Wave {
        at_ms: u64,
        count: usize,
    },
}

#[derive(Debug, Default)]
struct Outcome {
    returned: usize,
    served: usize,
}

impl Outcome {
    fn served_part(&self) -> f64 {
        self.served as f64 / self.returned.max(1) as f64
    }
}

/// Runs the load for 30 s of traffic, and until all returns have come.
fn play(load: Load, planned: bool, seed: u64) -> Outcome {
    let service = NameKey::of("engines");
    let (rank, mut random) = (CallRank::new(0, 0), StdRng::seed_from_u64(seed));
    let mut arrivals = StdRng::seed_from_u64(seed + 1000);
    let mut hosts: Vec<ReturnCalendar> = (0..HOSTS).map(|_| ReturnCalendar::default()).collect();
    let mut ends: Vec<u64> = Vec::new();
    let mut returns: BTreeMap<(u64, u64), RequestKey> = BTreeMap::new();
    let mut mail: BTreeMap<(u64, u64), (usize, ReturnUpdate)> = BTreeMap::new();
    let (mut serial, mut outcome) = (0_u64, Outcome::default());
    for ms in (0..36_000).step_by(STEP_MS as usize) {
        let now = TimePoint::from_millis(ms);
        ends.retain(|end| *end > ms);
        while let Some(entry) = mail.first_entry().filter(|entry| entry.key().0 <= ms) {
            let (to, update) = entry.remove();
            hosts[to].apply(now, &update);
        }
        for from in
            (0..HOSTS).filter(|host| planned && (ms / STEP_MS + *host as u64).is_multiple_of(25))
        {
            let incarnation = IncarnationId(from as u64 + 1);
            let Some((update, targets)) = hosts[from].next_update(now, incarnation, HOSTS - 1)
            else {
                continue;
            };
            for target in targets {
                if random.random_bool(0.1) {
                    continue;
                }
                serial += 1;
                let at = ms + random.random_range(10..80);
                mail.insert((at, serial), ((from + 1 + target) % HOSTS, update.clone()));
            }
        }
        let mut calls: Vec<(RequestKey, bool)> = Vec::new();
        while let Some(entry) = returns.first_entry().filter(|entry| entry.key().0 <= ms) {
            calls.push((entry.remove(), true));
        }
        let (factor, extra) = match load {
            Load::Burst { from_ms, to_ms, factor } if (from_ms..to_ms).contains(&ms) => (factor, 0),
            Load::Wave { at_ms, count } if at_ms == ms => (BASE, count),
            _ => (BASE, 0),
        };
        let rate = if ms < 30_000 { factor * CAPACITY * STEP_MS as f64 / 1000.0 } else { 0.0 };
        let fresh = (rate + arrivals.random::<f64>()) as usize + extra;
        calls.extend((0..fresh).map(|_| (RequestKey(random.random()), false)));
        for (key, is_return) in calls {
            let host = &mut hosts[random.random_range(0..HOSTS)];
            host.record_arrival(now, service, rank, key);
            if is_return {
                outcome.returned += 1;
            }
            if ends.len() < PLACES {
                ends.push(ms + arrivals.random_range(STAY_MS / 2..STAY_MS * 3 / 2));
                host.record_grant(now, service, rank);
                outcome.served += usize::from(is_return);
                continue;
            }
            host.record_refusal(now, service, rank);
            let usual = Duration::from_secs_f64(4.0 * random.random_range(0.85..1.15));
            let request = ReturnRequest {
                service,
                rank,
                key,
                cause: RefusalCause::NoMemory,
                usual,
                time_left: Duration::from_millis(DEADLINE_MS - 100),
                neighbours: HOSTS - 1,
                draw: random.random(),
            };
            let time = host.promise(now, &request);
            let pause = if planned { time.pause } else { usual }.min(request.latest());
            if !is_return {
                serial += 1;
                returns.insert((ms + pause.as_millis() as u64 + 6, serial), key);
            }
        }
    }
    outcome
}

/// Plays the load with 40 seeds, with constant pauses and with planned returns.
fn compare(load: Load) -> (Outcome, Outcome) {
    let play_all = |planned| {
        (0..40).map(|seed| play(load, planned, seed)).fold(Outcome::default(), |sum, one| Outcome {
            returned: sum.returned + one.returned,
            served: sum.served + one.served,
        })
    };
    let (constant, planned) = (play_all(false), play_all(true));
    println!(
        "{load:?}: served {:.3} of returns with the constant pause, {:.3} as planned",
        constant.served_part(),
        planned.served_part()
    );
    (constant, planned)
}

/// Guards against estimates that bring callers back into the overload that refused them.
#[rstest]
#[case::burst_of_4_s(Load::Burst { from_ms: 12_000, to_ms: 16_000, factor: 2.2 })]
#[case::burst_of_5_s(Load::Burst { from_ms: 12_000, to_ms: 17_000, factor: 2.2 })]
#[case::lasting_overload(Load::Burst { from_ms: 8000, to_ms: 30_000, factor: 1.3 })]
fn planned_returns_served_more_often_than_with_a_constant_pause(#[case] load: Load) {
    let (constant, planned) = compare(load);
    assert!(planned.served_part() > constant.served_part() + 0.005);
    let lost = |outcome: &Outcome| outcome.returned - outcome.served;
    assert!(lost(&planned) < lost(&constant));
}

/// No host knows of the wave at the moment of the refusals, so that its callers get the constant pause. Guards against
/// later refusals that make it worse.
#[test]
fn wave_served_as_often_as_with_a_constant_pause() {
    let (constant, planned) = compare(Load::Wave { at_ms: 12_000, count: 200 });
    assert!(planned.served_part() > constant.served_part() - 0.02);
}
