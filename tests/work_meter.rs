//! Measurement of the work that requests cause in each pool.

use std::time::Duration;
use tealcleat::keys::TimePoint;
use tealcleat::placement::{PaceTimer, WorkMeter, WorkSums};

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}

#[test]
fn read_time_excludes_waiting() {
    let mut meter = WorkMeter::default();
    assert_eq!(meter.read_time(10_000), Duration::ZERO, "no read has been recorded");
    for read in 0..100_u32 {
        let tokens = 1000 + read * 20;
        // Every third read has to wait.
        let waited = if read % 3 == 0 { 300_000 } else { 0 };
        meter.record_read(at(1), tokens, Duration::from_micros(u64::from(tokens) * 30 + waited));
    }
    let time = meter.read_time(10_000).as_secs_f64();
    assert!((0.3..0.33).contains(&time), "{time}");
}

#[test]
fn request_work_excludes_waiting() {
    let mut meter = WorkMeter::default();
    for read in 0..200_u32 {
        let tokens = 1000 + read * 20;
        // 30 microseconds per token, and 80 ms of waiting for every read.
        let took = Duration::from_micros(80_000 + u64::from(tokens) * 30);
        meter.record_read(at(u64::from(read)), tokens, took);
        meter.record_pace(100, Duration::from_millis(500));
        meter.record_stream(at(u64::from(read)), 3700, 600);
    }
    let work = meter.sums(at(200)).request_work(40_000).expect("enough requests have started");
    assert!((work.read_seconds - 0.0897).abs() < 0.002, "{work:?}");
    assert!((work.decode_seconds - 0.3 / 0.85).abs() < 0.001, "{work:?}");
}

/// The pools must be sized correctly before the first burst, so streams are counted when they
/// start.
#[test]
fn request_work_known_before_a_stream_ends() {
    let mut meter = WorkMeter::default();
    meter.record_stream(at(0), 3000, 640);
    assert_eq!(meter.sums(at(0)).request_work(40_000), None, "the time per token is unknown");
    let mut timer = PaceTimer::new(at(0));
    let (events, took) = timer.record_event(at(50)).expect("the first group is one event");
    meter.record_pace(events * 9, took);
    for request in 0..10 {
        meter.record_read(at(100 + request), 3000, Duration::from_millis(95));
        meter.record_stream(at(200 + request), 3000, 640);
    }
    let work = meter.sums(at(210)).request_work(40_000).expect("enough requests have started");
    let seconds = 640.0 * 0.050 / 9.0;
    let expected = 3320.0 * seconds / (40_000.0 * 0.85);
    assert!((work.decode_seconds - expected).abs() < 0.001, "{work:?}");
}

#[test]
fn pace_timer_measures_groups() {
    let mut timer = PaceTimer::new(at(0));
    assert_eq!(timer.record_event(at(50)), Some((1, Duration::from_millis(50))));
    for event in 2..9 {
        assert_eq!(timer.record_event(at(event * 50)), None);
    }
    assert_eq!(timer.record_event(at(450)), Some((8, Duration::from_millis(400))));
}

/// A stall of one stream, as caused by a network partition, must not make all streams look long.
#[test]
fn pace_barely_changed_by_a_stalled_stream() {
    let mut meter = WorkMeter::default();
    for request in 0..100 {
        meter.record_read(at(request), 3000, Duration::from_millis(95));
        meter.record_pace(72, Duration::from_millis(400));
    }
    meter.record_pace(72, Duration::from_millis(2000));
    for request in 0..100 {
        meter.record_stream(at(100 + request), 3700, 600);
    }
    let work = meter.sums(at(200)).request_work(40_000).expect("enough requests have started");
    let undisturbed = 4000.0 * 600.0 * 0.4 / 72.0 / (40_000.0 * 0.85);
    assert!((work.decode_seconds / undisturbed - 1.0).abs() < 0.1, "{work:?}");
}

/// Guards against a first measurement that comes from a stalled stream. With a fixed weight of
/// 0.02, it dominated the next dozens of measurements: decoding seemed 1.4 times as expensive as it
/// was, 16 of 32 prefill servers moved to the decode pool, and 5 had to move back.
#[test]
fn pace_weighs_first_measurements_equally() {
    let mut meter = WorkMeter::default();
    meter.record_pace(72, Duration::from_millis(2000));
    for request in 0..40 {
        meter.record_read(at(request), 3000, Duration::from_millis(95));
        meter.record_pace(72, Duration::from_millis(400));
    }
    for request in 0..40 {
        meter.record_stream(at(100 + request), 3700, 600);
    }
    let work = meter.sums(at(200)).request_work(40_000).expect("enough requests have started");
    let undisturbed = 4000.0 * 600.0 * 0.4 / 72.0 / (40_000.0 * 0.85);
    assert!((work.decode_seconds / undisturbed - 1.0).abs() < 0.12, "{work:?}");
}

#[test]
fn request_work_unknown_after_few_requests() {
    let mut meter = WorkMeter::default();
    for read in 0..7 {
        meter.record_read(at(read), 1000, Duration::from_millis(50));
        meter.record_pace(100, Duration::from_millis(500));
        meter.record_stream(at(read), 4000, 600);
    }
    assert!(meter.sums(at(10)).request_work(40_000).is_none());
}

/// One host receives updates from some of the others. The total rate must follow from the time over
/// which those collected their sums and not from the start of their processes.
#[test]
fn request_rate_extrapolated_from_some_hosts() {
    let mut received = WorkSums::default();
    for host in 0..20_u64 {
        let mut meter = WorkMeter::default();
        meter.record_pace(100, Duration::from_millis(500));
        // One request every five seconds, with a different offset for each host.
        for request in 0..12 {
            meter.record_stream(at(60_000 + host * 250 + request * 5_000), 3_000, 600);
        }
        received = received.plus(meter.sums(at(120_000)));
    }
    let rate = received.requests_per_second(1_000);
    assert!((160.0..240.0).contains(&rate), "{rate}");
}
