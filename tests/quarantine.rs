//! Which requests are held back for crashes of servers, and how much about them is kept and sent.

use rstest::rstest;
use std::time::{Duration, SystemTime};
use tealcleat::keys::RequestKey;
use tealcleat::platform::{CrashCopy, encode_crashes};
use tealcleat::quarantine::{CRASH_RETENTION, CrashTracker, TRIAL_DELAY};

mod tracker_common;

use tracker_common::{CRASHER, at, request, server, tracker_against, tracker_of};

/// Maximum number of bytes in a datagram between hosts.
const MAX_DATAGRAM: usize = 4096;
/// Maximum number of bytes of a value in the users' store.
const MAX_VALUE: usize = 1 << 20;

#[rstest]
#[case::two(2, false)]
#[case::three(3, true)]
#[case::four(4, true)]
fn request_held_after_three_crashes(#[case] crashes: u64, #[case] held: bool) {
    assert_eq!(tracker_against(crashes).is_held(CRASHER), held);
}

/// Hosts do not report servers that a request crashed to each other as failed as well, once that request is held.
#[rstest]
#[case(2, false)]
#[case(3, true)]
fn servers_known_to_be_crashed_by_a_held_request(#[case] crashes: u64, #[case] known: bool) {
    let tracker = tracker_against(crashes);
    assert_eq!(tracker.was_crashed_by_request(server(1)), known);
    assert!(!tracker.was_crashed_by_request(server(99)));
}

#[test]
fn server_incarnation_counted_once() {
    let mut tracker = CrashTracker::default();
    for millis in 0..5 {
        tracker.record_crash(at(millis), server(1), CRASHER);
    }
    assert!(!tracker.is_held(CRASHER));
    assert_eq!(tracker.evidence(CRASHER).crashes, 1);
}

#[test]
fn requests_at_one_crash_each_not_held() {
    let [a, b, c] = [request(1), request(2), request(3)];
    let tracker = tracker_of(&[&[CRASHER, a], &[CRASHER, b], &[CRASHER, c]]);
    assert!(tracker.is_held(CRASHER));
    assert!(![a, b, c].into_iter().any(|innocent| tracker.is_held(innocent)));
}

#[test]
fn request_at_crashes_by_three_others_not_held() {
    let (a, b, c, innocent) = (request(1), request(2), request(3), request(4));
    let tracker = tracker_of(&[
        &[a, innocent],
        &[b, innocent],
        &[c, innocent],
        &[a],
        &[b],
        &[c],
        &[a],
        &[b],
        &[c],
    ]);
    assert!([a, b, c].into_iter().all(|crasher| tracker.is_held(crasher)));
    assert!(!tracker.is_held(innocent));
}

#[test]
fn pair_told_apart_by_a_fourth_crash() {
    let innocent = request(1);
    let pair: &[RequestKey] = &[CRASHER, innocent];
    let mut tracker = tracker_of(&[pair, pair, pair]);
    assert!(!tracker.is_held(CRASHER) && !tracker.is_held(innocent));
    tracker.record_crash(at(9000), server(9), CRASHER);
    assert!(tracker.is_held(CRASHER));
    assert!(!tracker.is_held(innocent));
}

#[rstest]
#[case::just_before_the_crashes(0, false)]
#[case::between_them(2500, false)]
#[case::after_them(60_000, false)]
fn full_answer_clears_a_request(#[case] served_at: u64, #[case] held: bool) {
    let mut tracker = CrashTracker::default();
    let mut is_served = false;
    for number in 1..=5 {
        if served_at <= 1000 * number && !is_served {
            tracker.record_served(at(served_at), CRASHER);
            is_served = true;
        }
        tracker.record_crash(at(1000 * number), server(number), CRASHER);
    }
    if !is_served {
        assert!(tracker.is_held(CRASHER));
        tracker.record_served(at(served_at), CRASHER);
    }
    assert_eq!(tracker.is_held(CRASHER), held);
}

#[test]
fn full_answer_expires() {
    let mut tracker = CrashTracker::default();
    tracker.record_served(at(0), CRASHER);
    for number in 0..3 {
        let now = at(20_000 + number);
        tracker.expire(now);
        tracker.record_crash(now, server(number), CRASHER);
    }
    assert!(tracker.is_held(CRASHER));
}

/// Of two requests that are in flight together at all crashes, either may be the cause, or both.
#[test]
fn request_never_alone_at_a_crash_tried_once() {
    let pair: &[RequestKey] = &[CRASHER, request(1)];
    let mut tracker = tracker_of(&[pair, pair, pair, pair]);
    assert!(tracker.is_held(CRASHER) && !tracker.evidence(CRASHER).was_alone);
    let due = at(3000) + TRIAL_DELAY;
    assert!(!tracker.take_trial(due - Duration::from_millis(1), CRASHER), "too early");
    assert!(tracker.take_trial(due, CRASHER));
    assert!(!tracker.take_trial(due + TRIAL_DELAY, CRASHER), "once");
    tracker.record_served(due + Duration::from_secs(1), CRASHER);
    assert!(!tracker.is_held(CRASHER));
}

#[test]
fn request_alone_at_a_crash_never_tried() {
    let mut tracker = tracker_against(3);
    assert!(!tracker.take_trial(at(3000) + TRIAL_DELAY, CRASHER));
}

#[test]
fn crashes_expire_unless_the_request_returns() {
    let retention_ms = CRASH_RETENTION.as_millis() as u64;
    let mut tracker = tracker_against(3);
    let mut unreturned = tracker.clone();
    tracker.record_return(at(retention_ms / 2), CRASHER);
    for tracker in [&mut tracker, &mut unreturned] {
        tracker.expire(at(retention_ms + 3000));
    }
    assert!(tracker.is_held(CRASHER));
    assert!(unreturned.is_empty());
}

/// Each new request crashes three servers while many others are in flight. Their number is a hundred times what is kept.
#[test]
fn memory_and_updates_bounded_under_a_flood() {
    let mut tracker = tracker_against(3);
    let mut longest = 0;
    for number in 0..40_000 {
        let now = at(4000 + number);
        let crasher = request(number / 3);
        tracker.record_crash(now, server(1000 + number), crasher);
        for bystander in 0..4 {
            tracker.record_crash(
                now,
                server(1000 + number),
                request(1_000_000 + number * 4 + bystander),
            );
        }
        if number % 100 == 0 {
            tracker.record_return(now, CRASHER);
            let report = tracker.unsent(now);
            let bytes = bincode::serde::encode_to_vec(&report, bincode::config::standard());
            longest = longest.max(bytes.expect("bytes").len());
        }
    }
    assert!(tracker.len() <= 1024, "{}", tracker.len());
    assert!(longest < MAX_DATAGRAM / 2, "{longest}");
    assert!(tracker.is_held(CRASHER), "a request that returns is not evicted");
    let crashes = tracker.full_report(at(50_000)).crashes;
    let copy = CrashCopy { crashes, ..CrashCopy::default() };
    let copy = encode_crashes(&copy, SystemTime::now());
    assert!(copy.to_string().len() < MAX_VALUE / 2);
}

#[test]
fn requests_of_one_crash_bounded() {
    let mut tracker = CrashTracker::default();
    for number in 0..10_000 {
        tracker.record_crash(at(0), server(1), request(number));
    }
    let report = tracker.full_report(at(1));
    assert_eq!(report.crashes[0].requests.len(), 64);
    assert!(!tracker.unsent(at(1)).is_empty(), "even the largest record is sent");
}

#[test]
fn store_copy_written_until_complete() {
    let mut tracker = tracker_against(3);
    assert!(tracker.is_unsaved());
    let copy = tracker.full_report(at(3000)).crashes;
    tracker.record_crash(at(3100), server(1), request(1));
    tracker.record_saved(&copy);
    assert!(tracker.is_unsaved(), "one request more than was written");
    let copy = tracker.full_report(at(3200)).crashes;
    tracker.record_saved(&copy);
    assert!(!tracker.is_unsaved());
    let mut other = tracker_against(2);
    assert!(!other.merge_saved(at(3300), &copy));
    assert!(other.is_held(CRASHER));
}
