//! What requests take of the pools, measured while they run.

use std::time::Duration;
use tealcleat::keys::TimePoint;
use tealcleat::placement::{PaceTimer, WorkMeter, WorkSums};

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}

#[test]
fn read_time_from_reads_that_did_not_wait() {
    let mut meter = WorkMeter::default();
    assert_eq!(meter.read_time(10_000), Duration::ZERO, "nothing is known");
    for read in 0..100_u32 {
        let tokens = 1000 + read * 20;
        // Every third read waits for others.
        let waited = if read % 3 == 0 { 300_000 } else { 0 };
        meter.record_read(at(1), tokens, Duration::from_micros(u64::from(tokens) * 30 + waited));
    }
    let time = meter.read_time(10_000).as_secs_f64();
    assert!((0.3..0.33).contains(&time), "{time}");
}

#[test]
fn reads_split_into_work_and_waiting() {
    let mut meter = WorkMeter::default();
    for read in 0..200_u32 {
        let tokens = 1000 + read * 20;
        // 30 microseconds a token, and 80 ms that every read waits alike.
        let took = Duration::from_micros(80_000 + u64::from(tokens) * 30);
        meter.record_read(at(u64::from(read)), tokens, took);
        meter.record_pace(100, Duration::from_millis(500));
        meter.record_stream(at(u64::from(read)), 3700, 600);
    }
    let work = meter.sums(at(200)).request_work(40_000).expect("enough begun");
    assert!((work.read_seconds - 0.0897).abs() < 0.002, "{work:?}");
    assert!((work.decode_seconds - 0.3 / 0.85).abs() < 0.001, "{work:?}");
}

/// The pools must be right before the first burst: streams count as they begin.
#[test]
fn work_known_before_a_stream_has_ended() {
    let mut meter = WorkMeter::default();
    meter.record_stream(at(0), 3000, 640);
    assert_eq!(meter.sums(at(0)).request_work(40_000), None, "the pace of tokens is not known");
    let mut timer = PaceTimer::new(at(0));
    let (events, took) = timer.record_event(at(50)).expect("the first group is one event");
    meter.record_pace(events * 9, took);
    for request in 0..10 {
        meter.record_read(at(100 + request), 3000, Duration::from_millis(95));
        meter.record_stream(at(200 + request), 3000, 640);
    }
    let work = meter.sums(at(210)).request_work(40_000).expect("enough begun");
    let seconds = 640.0 * 0.050 / 9.0;
    let expected = 3320.0 * seconds / (40_000.0 * 0.85);
    assert!((work.decode_seconds - expected).abs() < 0.001, "{work:?}");
}

#[test]
fn events_timed_in_groups() {
    let mut timer = PaceTimer::new(at(0));
    assert_eq!(timer.record_event(at(50)), Some((1, Duration::from_millis(50))));
    for event in 2..9 {
        assert_eq!(timer.record_event(at(event * 50)), None);
    }
    assert_eq!(timer.record_event(at(450)), Some((8, Duration::from_millis(400))));
}

/// A pause of one stream, as behind a cut, does not make all streams look long.
#[test]
fn stalled_stream_hardly_changes_the_pace() {
    let mut meter = WorkMeter::default();
    for request in 0..100 {
        meter.record_read(at(request), 3000, Duration::from_millis(95));
        meter.record_pace(72, Duration::from_millis(400));
    }
    meter.record_pace(72, Duration::from_millis(2000));
    for request in 0..100 {
        meter.record_stream(at(100 + request), 3700, 600);
    }
    let work = meter.sums(at(200)).request_work(40_000).expect("enough begun");
    let undisturbed = 4000.0 * 600.0 * 0.4 / 72.0 / (40_000.0 * 0.85);
    assert!((work.decode_seconds / undisturbed - 1.0).abs() < 0.1, "{work:?}");
}

/// Pattern: a stalled stream is the first one that a host times. With a fixed weight of 0.02 that first
/// timing decided for some dozens: decoding looked 1.4 times as dear as it was, 16 of 32 prefill servers
/// went to the other pool, and 5 had to come back.
#[test]
fn first_timing_counts_no_more_than_the_next() {
    let mut meter = WorkMeter::default();
    meter.record_pace(72, Duration::from_millis(2000));
    for request in 0..40 {
        meter.record_read(at(request), 3000, Duration::from_millis(95));
        meter.record_pace(72, Duration::from_millis(400));
    }
    for request in 0..40 {
        meter.record_stream(at(100 + request), 3700, 600);
    }
    let work = meter.sums(at(200)).request_work(40_000).expect("enough begun");
    let undisturbed = 4000.0 * 600.0 * 0.4 / 72.0 / (40_000.0 * 0.85);
    assert!((work.decode_seconds / undisturbed - 1.0).abs() < 0.12, "{work:?}");
}

#[test]
fn few_requests_believed_by_nobody() {
    let mut meter = WorkMeter::default();
    for read in 0..7 {
        meter.record_read(at(read), 1000, Duration::from_millis(50));
        meter.record_pace(100, Duration::from_millis(500));
        meter.record_stream(at(read), 4000, 600);
    }
    assert!(meter.sums(at(10)).request_work(40_000).is_none());
}

/// One host hears some of the others: the rate of all follows from the time in which those counted, and not from when
/// their processes started.
#[test]
fn rate_of_all_hosts_told_by_some() {
    let mut heard = WorkSums::default();
    for host in 0..20_u64 {
        let mut meter = WorkMeter::default();
        meter.record_pace(100, Duration::from_millis(500));
        // One request in five seconds, by each after its own time.
        for request in 0..12 {
            meter.record_stream(at(60_000 + host * 250 + request * 5_000), 3_000, 600);
        }
        heard = heard.plus(meter.sums(at(120_000)));
    }
    let rate = heard.requests_per_second(1_000);
    assert!((160.0..240.0).contains(&rate), "{rate}");
}
