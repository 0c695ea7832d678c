//! Return times of one calendar: what callers are promised, who is recognised as returning, and what other hosts' updates
//! change.

use rstest::rstest;
use std::time::Duration;
use tealcleat::keys::{NameKey, RequestKey, TimePoint};
use tealcleat::return_times::{
    RefusalCause, ReturnBasis, ReturnCalendar, ReturnRequest, ReturnTime,
};

mod return_common;

use return_common::{
    less_urgent, mean_pause, promise_many, record_second, request, short_calendar, urgent,
};

/// Guards against more returns in a slot than it has free capacity for.
#[test]
fn free_capacity_promised_only_once() {
    let (now, mut calendar) = short_calendar(20);
    // 10 places a second are free, 2 in each quarter of a second; the callers fill them from the earliest one on.
    let times = promise_many(&mut calendar, now, less_urgent(), 0..30);
    assert!(times.iter().all(|time| time.basis == ReturnBasis::Free));
    assert!(times.iter().all(|time| time.pause >= Duration::from_millis(500)));
    for slots in 1..=14 {
        let end = Duration::from_millis(500 + slots * 250);
        let before = times.iter().filter(|time| time.pause < end).count() as u64;
        assert_eq!(before, slots * 2);
    }
}

/// While more requests arrive than memory becomes free, nothing tells when that ends. Guards against callers that return
/// together, and against some that burn their tries at once: each fifth of the time in which they can return gets a
/// fifth of them.
#[test]
fn returns_spread_evenly_while_nothing_is_free() {
    let (now, mut calendar) = short_calendar(66);
    let times = promise_many(&mut calendar, now, less_urgent(), 0..40);
    assert!(times.iter().all(|time| time.basis == ReturnBasis::LeastDemand));
    for part in 0..5 {
        let (from, to) = (500 + part * 820, 500 + (part + 1) * 820);
        let count = times.iter().filter(|t| (from..to).contains(&t.pause.as_millis())).count();
        assert!((6..=10).contains(&count), "{count} of 40 return from {from} to {to} ms");
    }
}

/// A caller is told a time within a third of what it has left, however long that is.
#[rstest]
#[case::short(3000)]
#[case::long(120_000)]
fn returns_use_the_whole_time_that_callers_have(#[case] left_ms: u64) {
    let (now, mut calendar) = short_calendar(66);
    let latest = Duration::from_millis(left_ms) / 3;
    let times = (0..200).map(|key| {
        let draw = (key as f64 * 0.618).fract();
        let time_left = Duration::from_millis(left_ms);
        let request = request(key, RefusalCause::NoMemory);
        calendar.promise(now, &ReturnRequest { draw, time_left, ..request }).pause
    });
    let times: Vec<Duration> = times.collect();
    assert!(times.iter().all(|pause| *pause <= latest));
    assert!(times.iter().any(|pause| *pause > latest.mul_f64(0.8)), "{:?}", times.iter().max());
}

/// Guards against less urgent callers that keep urgent ones from the next free capacity.
#[test]
fn urgent_caller_placed_earlier() {
    let (now, mut calendar) = short_calendar(20);
    // What is promised to less urgent callers does not delay urgent ones; the reverse does.
    promise_many(&mut calendar, now, less_urgent(), 0..20);
    let more = mean_pause(&promise_many(&mut calendar, now, urgent(), 20..40));
    let less = mean_pause(&promise_many(&mut calendar, now, less_urgent(), 40..60));
    assert!(more + Duration::from_millis(1000) < less, "{more:?} against {less:?}");
}

/// Guards against times computed from too few requests, too short a shortage or too few hosts.
#[test]
fn usual_pause_while_little_is_known() {
    let cause = RefusalCause::NoMemory;
    let mut unknown = ReturnCalendar::default();
    let first = unknown.promise(TimePoint::from_millis(9000), &request(1, cause));
    assert_eq!((first.basis, first.pause.as_millis()), (ReturnBasis::Usual, 4100));
    // A burst that has just begun is not in the rates.
    let (now, mut young) = short_calendar(66);
    let later = now + Duration::from_secs(3);
    young.record_refusal(later, NameKey::of("engines"), less_urgent());
    assert_eq!(young.promise(later, &request(2, cause)).basis, ReturnBasis::Usual);
    // A host that hears none of its neighbours knows a twentieth of the demand.
    let (now, mut alone) = short_calendar(66);
    let request = ReturnRequest { neighbours: 20, ..request(3, cause) };
    assert_eq!(alone.promise(now, &request).basis, ReturnBasis::Usual);
}

/// Guards against a time at which the caller has given up already.
#[rstest]
#[case::no_time(0, 4100)]
#[case::less_than_the_minimum(900, 300)]
fn short_deadline_not_exceeded(#[case] left_ms: u64, #[case] pause_ms: u128) {
    let (now, mut calendar) = short_calendar(20);
    let request = request(1, RefusalCause::NoMemory);
    let request = ReturnRequest { time_left: Duration::from_millis(left_ms), ..request };
    let time = calendar.promise(now, &request);
    assert_eq!((time.basis, time.pause.as_millis()), (ReturnBasis::OutOfTime, pause_ms));
}

/// Guards against a return that is taken for a new request, and a new request that is taken for a return.
#[test]
fn caller_that_returns_recognised_around_its_time() {
    let (now, mut calendar) = short_calendar(20);
    let request = request(5, RefusalCause::NoMemory);
    let at = now + calendar.promise(now, &request).pause;
    assert!(!calendar.is_return(at - Duration::from_millis(400), request.key));
    assert!(calendar.is_return(at, request.key));
    assert!(calendar.is_return(at + Duration::from_millis(900), request.key));
    assert!(!calendar.is_return(at + Duration::from_millis(1100), request.key));
}

/// Callers may retry a few times: one that is refused again is told a time like one that comes first, and counts as much for
/// those that are placed after it.
#[test]
fn repeat_told_a_time_like_a_first_try() {
    let (now, mut calendar) = short_calendar(20);
    let first = request(5, RefusalCause::NoMemory);
    let at = now + calendar.promise(now, &first).pause;
    record_second(&mut calendar, 11_000 + at.since(now).as_millis() as u64, 20, 30, 10);
    let again = ReturnRequest { time_left: first.time_left - at.since(now), ..first };
    let other = ReturnRequest { key: RequestKey(6), ..again };
    let expected = calendar.choose_time(at, &other);
    let time = calendar.promise(at, &again);
    assert_eq!(time, expected);
    assert!(calendar.promised(at).any(|key| key == first.key));
}

/// What the demand was before does not tell how long a shortage lasts: with equal figures of the last second and equal
/// promises, callers are told the same times after a calm minute and after a crowded one.
#[test]
fn time_does_not_depend_on_earlier_demand() {
    let calm = (0..20).map(|_| 20).collect::<Vec<u64>>();
    let crowded = (0..20).map(|_| 66).collect::<Vec<u64>>();
    let times = [calm, crowded].map(|demand| {
        let mut calendar = ReturnCalendar::default();
        for (second, fresh) in (0..).zip(demand) {
            record_second(&mut calendar, second * 1000, fresh, 20, 1);
        }
        record_second(&mut calendar, 20_000, 66, 30, 10);
        promise_many(&mut calendar, TimePoint::from_millis(20_990), less_urgent(), 0..40)
    });
    assert_eq!(times[0], times[1]);
}

/// Guards against callers that return before the queues are served, and against more of them at a time than the servers
/// have places for.
#[rstest]
#[case::few_rejected(5, 80)]
#[case::many_rejected(400, 200)]
fn plain_pause_follows_rejections(#[case] rejected: u64, #[case] mean_ms: u64) {
    let service = NameKey::of("engines");
    let mut calendar = ReturnCalendar::default();
    record_second(&mut calendar, 0, 100, 0, rejected);
    for index in 0..100 {
        let now = TimePoint::from_millis(index * 10);
        calendar.record_answer(now, service, less_urgent(), Duration::from_millis(50));
    }
    let cause = RefusalCause::NoPlace(18.0);
    let times: Vec<ReturnTime> = (0..20)
        .map(|index| {
            let (time_left, draw) = (Duration::from_millis(1050), f64::from(index) / 20.0);
            let request = ReturnRequest { time_left, draw, ..request(index as u64, cause) };
            calendar.promise(TimePoint::from_millis(999), &request)
        })
        .collect();
    assert!(times.iter().all(|time| time.basis == ReturnBasis::AnswerTime));
    assert!(times.iter().all(|time| (50..=350).contains(&time.pause.as_millis())));
    let mean = mean_pause(&times).as_millis() as u64;
    assert!(mean.abs_diff(mean_ms) <= 10, "{mean} ms");
}

/// A host that has heard no others yet assumes that they have as many requests, and one with few requests keeps the usual
/// pause.
#[rstest]
#[case::few_requests(2, ReturnBasis::Usual, 300)]
#[case::nobody_heard(10, ReturnBasis::AnswerTime, 349)]
fn plain_pause_of_a_host_that_knows_little(
    #[case] requests: u64,
    #[case] basis: ReturnBasis,
    #[case] pause_ms: u128,
) {
    let mut calendar = ReturnCalendar::default();
    record_second(&mut calendar, 0, requests * 2, 0, requests);
    for index in 0..requests {
        let now = TimePoint::from_millis(index * 10);
        calendar.record_answer(
            now,
            NameKey::of("engines"),
            less_urgent(),
            Duration::from_millis(50),
        );
    }
    let request = ReturnRequest {
        usual: Duration::from_millis(300),
        time_left: Duration::from_millis(1050),
        neighbours: 23,
        draw: 0.999,
        ..request(1, RefusalCause::NoPlace(6.0))
    };
    let time = calendar.promise(TimePoint::from_millis(999), &request);
    assert_eq!((time.basis, time.pause.as_millis()), (basis, pause_ms));
}

/// Guards against a return before any server accepts requests, and against one that the deadline does not allow.
#[rstest]
#[case::unknown(None, 13_800, 1400, 2000)]
#[case::trial_known(Some(800), 13_800, 800, 1143)]
#[case::short_deadline(None, 1200, 280, 400)]
fn return_without_a_server_waits_until_one_is_back(
    #[case] trial_ms: Option<u64>,
    #[case] left_ms: u64,
    #[case] from_ms: u128,
    #[case] to_ms: u128,
) {
    let cause = RefusalCause::NoServer(trial_ms.map(Duration::from_millis));
    for draw in [0.0, 0.99] {
        let time_left = Duration::from_millis(left_ms);
        let request = ReturnRequest { draw, time_left, ..request(1, cause) };
        let time = ReturnCalendar::default().promise(TimePoint::default(), &request);
        assert!((from_ms..=to_ms).contains(&time.pause.as_millis()), "{time:?}");
    }
}
