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
/// Requests that the pool runs at a time; each stays for three seconds, so that 60 a second are served.
const PLACES: usize = 180;
const STAY_MS: u64 = 3000;
const CAPACITY: f64 = 60.0;
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
    /// All requests that were served.
    total: usize,
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
        for from in (0..HOSTS).filter(|host| planned && (ms / STEP_MS + *host as u64) % 25 == 0) {
            let incarnation = IncarnationId(from as u64 + 1);
            let Some((update, targets)) = hosts[from].next_update(now, incarnation, HOSTS - 1)
            else {
                continue;
            };
            for target in targets.into_iter().filter(|_| random.random_bool(0.9)) {
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
        let fresh = (rate + random.random::<f64>()) as usize + extra;
        calls.extend((0..fresh).map(|_| (RequestKey(random.random()), false)));
        for (key, is_return) in calls {
            let host = &mut hosts[random.random_range(0..HOSTS)];
            host.record_arrival(now, service, rank, key);
            if is_return {
                outcome.returned += 1;
            }
            if ends.len() < PLACES {
                ends.push(ms + STAY_MS);
                host.record_grant(now, service, rank);
                outcome.total += 1;
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

#[test]
fn show() {
    for load in [
        Load::Burst { from_ms: 12_000, to_ms: 16_000, factor: 2.2 },
        Load::Burst { from_ms: 12_000, to_ms: 17_000, factor: 2.2 },
        Load::Burst { from_ms: 8_000, to_ms: 30_000, factor: 1.3 },
        Load::Wave { at_ms: 12_000, count: 200 },
    ] {
        for planned in [false, true] {
            let all: Vec<Outcome> = (0..10).map(|seed| play(load, planned, seed)).collect();
            let part = all.iter().map(Outcome::served_part).sum::<f64>() / 10.0;
            let lost: usize = all.iter().map(|o| o.returned - o.served).sum();
            let total: usize = all.iter().map(|o| o.total).sum();
            println!("{load:?} planned={planned} part={part:.3} lost={lost} total={total}");
        }
    }
}
