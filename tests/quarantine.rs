//! Which requests are held back for crashes of servers, and how much is kept and told of them.

use rstest::rstest;
use std::time::{Duration, SystemTime};
use tealcleat::keys::{NameKey, RequestKey, ServerKey, TimePoint};
use tealcleat::platform::encode_crashes;
use tealcleat::quarantine::{CRASH_RETENTION, CrashReport, CrashTracker, TRIAL_DELAY};

/// A datagram between hosts holds this many bytes.
const LONGEST_DATAGRAM: usize = 4096;
/// As the users' store.
const LONGEST_VALUE: usize = 1 << 20;
const CRASHER: RequestKey = RequestKey(u64::MAX);

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(100_000 + millis)
}

fn server(number: u64) -> ServerKey {
    NameKey(0xa000_0000_0000_0000 + number)
}

fn request(number: u64) -> RequestKey {
    RequestKey(0xb000_0000_0000_0000 + number)
}

/// A book of crashes, a second apart, each with the requests that were there.
fn book_of(crashes: &[&[RequestKey]]) -> CrashTracker {
    let mut book = CrashTracker::default();
    for (requests, number) in crashes.iter().zip(0..) {
        for request in *requests {
            book.record_crash(at(1000 * number), server(number), *request);
        }
    }
    book
}

/// A book of `count` crashes under the crasher alone.
fn book_against(count: u64) -> CrashTracker {
    let crashes: Vec<&[RequestKey]> = (0..count).map(|_| &[CRASHER][..]).collect();
    book_of(&crashes)
}

fn told(book: &mut CrashTracker, now: TimePoint) -> CrashReport {
    book.unsent(now)
}

#[rstest]
#[case::two(2, false)]
#[case::three(3, true)]
#[case::four(4, true)]
fn request_held_after_three_crashes(#[case] crashes: u64, #[case] held: bool) {
    assert_eq!(book_against(crashes).is_held(CRASHER), held);
}

#[test]
fn life_of_a_server_counted_once() {
    let mut book = CrashTracker::default();
    for millis in 0..5 {
        book.record_crash(at(millis), server(1), CRASHER);
    }
    assert!(!book.is_held(CRASHER));
    assert_eq!(book.evidence(CRASHER).crashes, 1);
}

#[test]
fn requests_at_one_crash_each_not_held() {
    let [a, b, c] = [request(1), request(2), request(3)];
    let book = book_of(&[&[CRASHER, a], &[CRASHER, b], &[CRASHER, c]]);
    assert!(book.is_held(CRASHER));
    assert!(![a, b, c].into_iter().any(|innocent| book.is_held(innocent)));
}

#[test]
fn request_at_crashes_of_three_others_not_held() {
    let (a, b, c, innocent) = (request(1), request(2), request(3), request(4));
    let book = book_of(&[
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
    assert!([a, b, c].into_iter().all(|crasher| book.is_held(crasher)));
    assert!(!book.is_held(innocent));
}

#[test]
fn pair_told_apart_by_a_fourth_crash() {
    let innocent = request(1);
    let pair: &[RequestKey] = &[CRASHER, innocent];
    let mut book = book_of(&[pair, pair, pair]);
    assert!(!book.is_held(CRASHER) && !book.is_held(innocent));
    book.record_crash(at(9000), server(9), CRASHER);
    assert!(book.is_held(CRASHER));
    assert!(!book.is_held(innocent));
}

#[rstest]
#[case::just_before_the_crashes(0, false)]
#[case::between_them(2500, false)]
#[case::after_them(60_000, false)]
fn whole_answer_speaks_for_a_request(#[case] served_at: u64, #[case] held: bool) {
    let mut book = CrashTracker::default();
    let mut is_served = false;
    for number in 1..=5 {
        if served_at <= 1000 * number && !is_served {
            book.record_served(at(served_at), CRASHER);
            is_served = true;
        }
        book.record_crash(at(1000 * number), server(number), CRASHER);
    }
    if !is_served {
        assert!(book.is_held(CRASHER));
        book.record_served(at(served_at), CRASHER);
    }
    assert_eq!(book.is_held(CRASHER), held);
}

#[test]
fn whole_answer_of_long_ago_forgotten() {
    let mut book = CrashTracker::default();
    book.record_served(at(0), CRASHER);
    for number in 0..3 {
        let now = at(20_000 + number);
        book.expire(now);
        book.record_crash(now, server(number), CRASHER);
    }
    assert!(book.is_held(CRASHER));
}

#[test]
fn crashes_seen_by_several_hosts_add_up() {
    let mut books: Vec<CrashTracker> = (0..3).map(|_| CrashTracker::default()).collect();
    for (book, number) in books.iter_mut().zip(0..) {
        book.record_crash(at(number), server(number), CRASHER);
    }
    let reports: Vec<CrashReport> = books.iter_mut().map(|book| told(book, at(10))).collect();
    for book in &mut books {
        for report in &reports {
            book.merge(at(20), report);
        }
        assert!(book.is_held(CRASHER));
    }
}

#[test]
fn news_told_on_by_those_who_heard_them() {
    let mut first = book_against(3);
    let mut second = CrashTracker::default();
    second.merge(at(4000), &told(&mut first, at(4000)));
    let mut third = CrashTracker::default();
    third.merge(at(4100), &told(&mut second, at(4100)));
    assert!(third.is_held(CRASHER));
}

#[test]
fn news_repeated_for_hosts_that_were_cut_off_and_then_no_more() {
    let mut book = book_against(3);
    while !told(&mut book, at(3000)).is_empty() {}
    assert!(!told(&mut book, at(12_000)).is_empty());
    assert!(told(&mut book, at(60_000)).is_empty());
}

#[test]
fn acquittal_reaches_other_hosts_and_outlives_older_news() {
    let mut guilty = book_against(3);
    let old = guilty.full_report(at(3000));
    let mut witness = guilty.clone();
    witness.record_served(at(4000), CRASHER);
    guilty.merge(at(4100), &told(&mut witness, at(4100)));
    assert!(!guilty.is_held(CRASHER));
    guilty.merge(at(4200), &old);
    assert!(!guilty.is_held(CRASHER));
}

#[test]
fn acquittal_of_a_host_that_served_it_before_it_heard() {
    let mut witness = CrashTracker::default();
    witness.record_served(at(2900), CRASHER);
    let mut guilty = book_against(3);
    witness.merge(at(3000), &told(&mut guilty, at(3000)));
    assert!(!witness.is_held(CRASHER));
    guilty.merge(at(3100), &told(&mut witness, at(3100)));
    assert!(!guilty.is_held(CRASHER));
}

/// Two that were always there together: either may be the cause, or both.
#[test]
fn request_never_alone_at_a_crash_tried_once() {
    let pair: &[RequestKey] = &[CRASHER, request(1)];
    let mut book = book_of(&[pair, pair, pair, pair]);
    assert!(book.is_held(CRASHER) && !book.evidence(CRASHER).was_alone);
    let due = at(3000) + TRIAL_DELAY;
    assert!(!book.take_trial(due - Duration::from_millis(1), CRASHER), "too early");
    assert!(book.take_trial(due, CRASHER));
    assert!(!book.take_trial(due + TRIAL_DELAY, CRASHER), "once");
    book.record_served(due + Duration::from_secs(1), CRASHER);
    assert!(!book.is_held(CRASHER));
}

#[test]
fn request_alone_at_a_crash_never_tried() {
    let mut book = book_against(3);
    assert!(!book.take_trial(at(3000) + TRIAL_DELAY, CRASHER));
}

#[test]
fn crashes_forgotten_only_if_nobody_came_again() {
    let life = CRASH_RETENTION.as_millis() as u64;
    let mut book = book_against(3);
    let mut left = book.clone();
    book.record_return(at(life / 2), CRASHER);
    for book in [&mut book, &mut left] {
        book.expire(at(life + 3000));
    }
    assert!(book.is_held(CRASHER));
    assert!(left.is_empty());
}

#[test]
fn return_told_to_hosts_that_saw_none() {
    let life = CRASH_RETENTION.as_millis() as u64;
    let mut book = book_against(3);
    let mut other = book.clone();
    while !told(&mut book, at(30_000)).is_empty() {}
    book.record_return(at(life / 2), CRASHER);
    other.merge(at(life / 2), &told(&mut book, at(life / 2)));
    other.expire(at(life + 3000));
    assert!(other.is_held(CRASHER));
}

/// Each new request crashes three servers, a hundred times as many as are kept, with many others there.
#[test]
fn memory_and_news_bounded_under_a_flood() {
    let mut book = book_against(3);
    let mut longest = 0;
    for number in 0..40_000 {
        let now = at(4000 + number);
        let crasher = request(number / 3);
        book.record_crash(now, server(1000 + number), crasher);
        for bystander in 0..4 {
            book.record_crash(
                now,
                server(1000 + number),
                request(1_000_000 + number * 4 + bystander),
            );
        }
        if number % 100 == 0 {
            book.record_return(now, CRASHER);
            let report = told(&mut book, now);
            let bytes = bincode::serde::encode_to_vec(&report, bincode::config::standard());
            longest = longest.max(bytes.expect("bytes").len());
        }
    }
    assert!(book.len() <= 1024, "{}", book.len());
    assert!(longest < LONGEST_DATAGRAM / 2, "{longest}");
    assert!(book.is_held(CRASHER), "what comes again is not crowded out");
    let copy = encode_crashes(&book.full_report(at(50_000)).crashes, SystemTime::now());
    assert!(copy.to_string().len() < LONGEST_VALUE / 2);
}

#[test]
fn requests_of_one_crash_bounded() {
    let mut book = CrashTracker::default();
    for number in 0..10_000 {
        book.record_crash(at(0), server(1), request(number));
    }
    let report = book.full_report(at(1));
    assert_eq!(report.crashes[0].requests.len(), 64);
    assert!(!told(&mut book, at(1)).is_empty(), "also the fullest one is told");
}

#[test]
fn copy_in_the_store_written_until_it_has_all() {
    let mut book = book_against(3);
    assert!(book.is_unsaved());
    let copy = book.full_report(at(3000)).crashes;
    book.record_crash(at(3100), server(1), request(1));
    book.record_saved(&copy);
    assert!(book.is_unsaved(), "one more request than was written");
    let copy = book.full_report(at(3200)).crashes;
    book.record_saved(&copy);
    assert!(!book.is_unsaved());
    let mut other = book_against(2);
    assert!(!other.merge_saved(at(3300), &copy));
    assert!(other.is_held(CRASHER));
}
