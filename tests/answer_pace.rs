//! Timeouts of an answer of the store, which grow with the bytes received.

use rstest::rstest;
use std::time::Duration;
use tealcleat::keys::TimePoint;
use tealcleat::platform::AnswerPace;

const LIMIT: Duration = Duration::from_millis(400);

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}

#[rstest]
#[case::nothing_yet(100, 0, 500)]
#[case::gap_after_the_limit(900, 0, 0)]
// One megabyte per second, over a link of ten megabits per second.
#[case::fast_link(1000, 1_000_000, 500)]
// Half a megabit per second: the received bytes extend the deadline by only 0.8 s beyond the limit and one gap.
#[case::slow_link(1700, 100_000, 0)]
fn next_chunk_timeout_grows_with_received_bytes(
    #[case] now_ms: u64,
    #[case] received: usize,
    #[case] expected_ms: u64,
) {
    let pace = AnswerPace::new(at(0), 0, LIMIT);
    assert_eq!(pace.next_chunk_timeout(at(now_ms), received), Duration::from_millis(expected_ms));
}

#[test]
fn first_byte_timeout_includes_transfer_time_of_the_request() {
    assert_eq!(AnswerPace::new(at(0), 0, LIMIT).first_byte_timeout(), LIMIT);
    let second = Duration::from_secs(1);
    assert_eq!(AnswerPace::new(at(0), 125_000, LIMIT).first_byte_timeout(), LIMIT + second);
}
