//! How long an answer of the store is waited for: as long as it comes.

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
#[case::pause_after_the_limit(900, 0, 0)]
// A megabyte in a second, over a link of ten megabits.
#[case::flows(1000, 1_000_000, 500)]
// At half a megabit: what has come pays for 0.8 s, the limit and a pause, and no more.
#[case::trickles(1700, 100_000, 0)]
fn piece_is_waited_for(#[case] now_ms: u64, #[case] received: usize, #[case] expected_ms: u64) {
    let pace = AnswerPace::new(at(0), 0, LIMIT);
    assert_eq!(pace.next_chunk_timeout(at(now_ms), received), Duration::from_millis(expected_ms));
}

#[test]
fn question_has_time_to_arrive() {
    assert_eq!(AnswerPace::new(at(0), 0, LIMIT).first_byte_timeout(), LIMIT);
    let second = Duration::from_secs(1);
    assert_eq!(AnswerPace::new(at(0), 125_000, LIMIT).first_byte_timeout(), LIMIT + second);
}
