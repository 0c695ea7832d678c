//! Which parts of prompts are held back, from crashes told by hosts in any order.

use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;
use tealcleat::keys::{NameKey, PartKey, RequestKey, ServerKey, TimePoint};
use tealcleat::quarantine::{
    ConnectionLoss, PART_TRIAL_DELAY, PartCrash, PartReport, PartTracker, RequestVerdict,
    SETTLE_TIME, SuspectRequest,
};

const FIRST: PartKey = NameKey(1);
const BAD: PartKey = NameKey(666);
const OTHER_BAD: PartKey = NameKey(667);
const MIDDLE: PartKey = NameKey(20);
/// Time between the start of a run and the crash, and between two crashes.
const RUN_MS: u64 = 30;
const STEP_MS: u64 = 500;

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}

fn server(number: u64) -> ServerKey {
    NameKey(1000 + number)
}

fn loss(request: u64, crash_ms: u64, parts: &[PartKey]) -> ConnectionLoss {
    ConnectionLoss {
        request: RequestKey(request),
        sent_at: at(crash_ms - RUN_MS),
        lost_at: at(crash_ms),
        unwritten_parts: Arc::from(parts),
    }
}

/// The time of a crash, by its number.
fn crash_ms(number: u64) -> u64 {
    10_000 + number * STEP_MS
}

/// Lets `count` servers crash one after the other, each while one run with `parts` had not begun to write.
fn crash(tracker: &mut PartTracker, count: u64, parts: &[PartKey]) {
    for number in 0..count {
        let millis = crash_ms(number);
        tracker.record_loss(at(millis), server(number), &loss(number, millis, parts));
    }
}

/// Lets the time pass after which crashes are settled.
fn settle(tracker: &mut PartTracker, from_ms: u64) -> u64 {
    let until = from_ms + SETTLE_TIME.as_millis() as u64 + 100;
    for millis in (from_ms..=until).step_by(100) {
        tracker.unsent(at(millis));
    }
    until
}

fn settled(mut tracker: PartTracker, count: u64) -> PartTracker {
    // The updates of the time of the crashes are received, too.
    for millis in (10_000..crash_ms(count)).step_by(100) {
        tracker.unsent(at(millis));
    }
    settle(&mut tracker, crash_ms(count));
    tracker
}

#[rstest]
#[case::two_crashes(2, RequestVerdict::Free)]
#[case::three_crashes(3, RequestVerdict::Held)]
#[case::five_crashes(5, RequestVerdict::Held)]
fn part_held_after_crashes(#[case] count: u64, #[case] verdict: RequestVerdict) {
    let mut tracker = PartTracker::default();
    crash(&mut tracker, count, &[BAD]);
    let tracker = settled(tracker, count);
    assert_eq!(tracker.verdict(&[FIRST, BAD, MIDDLE]), verdict);
    assert_eq!(tracker.verdict(&[FIRST, MIDDLE]), RequestVerdict::Free);
}

/// Other hosts may still tell which other parts were in flight.
#[test]
fn part_of_unsettled_crashes_waited_for() {
    let mut tracker = PartTracker::default();
    tracker.unsent(at(10_000));
    crash(&mut tracker, 3, &[BAD]);
    assert!(matches!(tracker.verdict(&[BAD]), RequestVerdict::Unsettled { .. }));
    let tracker = settled(tracker, 3);
    assert_eq!(tracker.verdict(&[BAD]), RequestVerdict::Held);
}

/// Guards against innocents refused for what they share: all requests have the first part, and it is at every crash.
#[rstest]
#[case::written_before(5_000)]
#[case::written_after(13_000)]
fn part_written_on_never_held(#[case] written_ms: u64) {
    let mut tracker = PartTracker::default();
    if written_ms < crash_ms(0) {
        tracker.record_written(at(written_ms), &[FIRST, MIDDLE]);
    }
    crash(&mut tracker, 5, &[FIRST, BAD]);
    tracker.record_written(at(written_ms), &[FIRST, MIDDLE]);
    let tracker = settled(tracker, 5);
    assert_eq!(tracker.verdict(&[FIRST, BAD]), RequestVerdict::Held);
    assert_eq!(tracker.verdict(&[FIRST, MIDDLE]), RequestVerdict::Free);
}

/// As long as no run tells the parts apart, only prompts with all of them are held back.
#[test]
fn parts_never_told_apart_held_together() {
    let mut tracker = PartTracker::default();
    crash(&mut tracker, 4, &[FIRST, BAD]);
    let mut tracker = settled(tracker, 4);
    assert_eq!(tracker.verdict(&[FIRST, BAD]), RequestVerdict::Held);
    assert_eq!(tracker.verdict(&[FIRST, MIDDLE]), RequestVerdict::Free);
    assert_eq!(tracker.verdict(&[MIDDLE, BAD]), RequestVerdict::Free);
    // One more crash without the first part tells that it is not the cause.
    let millis = crash_ms(9);
    tracker.record_loss(at(millis), server(9), &loss(9, millis, &[BAD]));
    settle(&mut tracker, millis);
    assert_eq!(tracker.verdict(&[MIDDLE, BAD]), RequestVerdict::Held);
}

/// A part that was in flight beside the bad one at each crash by chance, in a run of its own, is explained by it.
#[test]
fn bystander_at_fewer_crashes_not_held() {
    let mut tracker = PartTracker::default();
    crash(&mut tracker, 5, &[BAD]);
    for number in 0..4 {
        let millis = crash_ms(number);
        tracker.record_loss(at(millis), server(number), &loss(100 + number, millis, &[MIDDLE]));
    }
    let tracker = settled(tracker, 5);
    assert_eq!(tracker.verdict(&[BAD]), RequestVerdict::Held);
    assert_eq!(tracker.verdict(&[MIDDLE]), RequestVerdict::Free);
}

/// Guards against blaming what all requests share when all servers crash at once for another reason.
#[test]
fn simultaneous_crashes_are_one_event() {
    let mut tracker = PartTracker::default();
    for number in 0..9 {
        let millis = 10_000 + number;
        tracker.record_loss(at(millis), server(number), &loss(number, millis, &[FIRST, MIDDLE]));
    }
    let tracker = settled(tracker, 9);
    assert_eq!(tracker.verdict(&[FIRST, MIDDLE]), RequestVerdict::Free);
}

#[test]
fn several_bad_parts_held() {
    let mut tracker = PartTracker::default();
    for number in 0..8 {
        let millis = crash_ms(number);
        let part = if number % 2 == 0 { BAD } else { OTHER_BAD };
        tracker.record_loss(at(millis), server(number), &loss(number, millis, &[part]));
    }
    let tracker = settled(tracker, 8);
    assert_eq!(tracker.verdict(&[FIRST, BAD]), RequestVerdict::Held);
    assert_eq!(tracker.verdict(&[OTHER_BAD]), RequestVerdict::Held);
}

/// The same reports in any order, some of them twice, end in the same verdict at a host that saw no crash itself.
#[rstest]
#[case::in_order([0, 1, 2, 3])]
#[case::reversed([3, 2, 1, 0])]
#[case::mixed([2, 0, 3, 1])]
fn verdict_independent_of_order(#[case] order: [u64; 4]) {
    let mut tracker = PartTracker::default();
    for number in order.into_iter().chain(order) {
        let now_ms = 20_000;
        let crash = PartCrash {
            server: server(number),
            age_ms: (now_ms - crash_ms(number)) as u32,
            requests: vec![SuspectRequest {
                request: RequestKey(number),
                ran_ms: RUN_MS as u32,
                parts: vec![BAD],
            }],
        };
        tracker.merge(at(now_ms), &PartReport { crashes: vec![crash], clearances: vec![] });
    }
    settle(&mut tracker, 20_000);
    assert_eq!(tracker.len(), 4);
    assert_eq!(tracker.verdict(&[BAD]), RequestVerdict::Held);
}

/// A part is let in again: one request is tried, and its answer clears the part at all hosts.
#[test]
fn held_part_tried_once_and_cleared() {
    let mut tracker = PartTracker::default();
    crash(&mut tracker, 3, &[BAD]);
    let mut tracker = settled(tracker, 3);
    let last = at(crash_ms(2));
    assert!(!tracker.take_trial(last + PART_TRIAL_DELAY / 2, &[FIRST, BAD]));
    let due = last + PART_TRIAL_DELAY;
    assert!(tracker.take_trial(due, &[FIRST, BAD]));
    assert!(!tracker.take_trial(due + Duration::from_secs(1), &[FIRST, BAD]));
    tracker.record_written(due + Duration::from_secs(2), &[FIRST, BAD]);
    assert_eq!(tracker.verdict(&[FIRST, BAD]), RequestVerdict::Free);
    let told = tracker.unsent(due + Duration::from_secs(3));
    assert!(told.clearances.iter().any(|clearance| clearance.part == BAD));
}

/// Each trial that crashes a server doubles the time until the next one.
#[test]
fn crashing_trials_become_rare() {
    let mut tracker = PartTracker::default();
    crash(&mut tracker, 3, &[BAD]);
    let mut tracker = settled(tracker, 3);
    let mut trials = 0;
    let mut number = 50;
    for second in 20..600_u64 {
        if tracker.take_trial(at(second * 1000), &[BAD]) {
            trials += 1;
            number += 1;
            let millis = second * 1000 + RUN_MS;
            tracker.record_loss(at(millis), server(number), &loss(number, millis, &[BAD]));
        }
    }
    assert_eq!(trials, 3);
}

#[test]
fn tracker_and_messages_bounded() {
    let mut tracker = PartTracker::default();
    let mut longest = 0;
    for number in 0..600 {
        let millis = 10_000 + number * 50;
        let parts: Vec<PartKey> = (0..40).map(|part| NameKey(number * 100 + part)).collect();
        tracker.record_loss(at(millis), server(number), &loss(number, millis, &parts));
        let report = tracker.unsent(at(millis));
        let bytes = bincode::serde::encode_to_vec(&report, bincode::config::standard());
        longest = longest.max(bytes.expect("bytes").len());
    }
    assert!(tracker.len() <= 256, "{}", tracker.len());
    assert!(longest < 2048, "{longest}");
}
