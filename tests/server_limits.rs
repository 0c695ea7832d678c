//! Limits that backend servers name: what is read as one, and what is believed of them.

use rstest::rstest;
use std::time::Duration;
use tealcleat::platform::{LimitNaming, read_limit};
use tealcleat::server_limits::{LimitTable, LimitUpdate};

mod limit_common;

use limit_common::{at, limit, news, server};

fn naming(values: &[&str]) -> LimitNaming {
    let mut headers = http::HeaderMap::new();
    for value in values {
        let value = http::HeaderValue::from_bytes(value.as_bytes()).expect("a value");
        headers.append("server-limit", value);
    }
    read_limit(&headers)
}

#[rstest]
#[case::whole("3", 3.0)]
#[case::fraction("0.8", 0.8)]
#[case::zero("0", 0.0)]
#[case::spaces(" 3.3 ", 3.3)]
#[case::large("1000000000", 1e9)]
fn limit_read(#[case] text: &str, #[case] expected: f64) {
    let LimitNaming::Named(limit) = naming(&[text]) else { panic!("{text:?} is not read") };
    assert!((limit.per_second() - expected).abs() < 1e-9);
}

#[rstest]
#[case::empty("")]
#[case::negative("-1")]
#[case::plus("+1")]
#[case::not_a_number("NaN")]
#[case::infinite("inf")]
#[case::exponent("1e9")]
#[case::no_whole(".5")]
#[case::no_fraction("5.")]
#[case::two_points("1.2.3")]
#[case::unit("3/s")]
#[case::list("3, 5")]
#[case::other_digits("\u{663}")]
#[case::long("0.0000000000000000000000000000000000001")]
fn malformed_limit_refused(#[case] text: &str) {
    assert!(matches!(naming(&[text]), LimitNaming::Malformed(_)), "{text:?}");
}

#[test]
fn limit_named_twice() {
    assert_eq!(naming(&["5", "3.3"]), LimitNaming::Named(limit("3.3")));
    assert!(matches!(naming(&["5", "x"]), LimitNaming::Malformed(_)));
    assert_eq!(naming(&[]), LimitNaming::Absent);
}

fn named(book: &mut LimitTable, now: u64, sent: u64, text: &str) -> bool {
    book.apply_answer(at(now), at(sent), server(), limit(text)).is_some()
}

/// A book that heard of a limit of 3 at 0 ms.
fn book_of_three() -> LimitTable {
    let mut book = LimitTable::default();
    assert!(named(&mut book, 0, 0, "3"));
    book
}

#[test]
fn limit_changes_with_later_answers() {
    let mut book = book_of_three();
    assert!(!named(&mut book, 100, 50, "3"));
    assert!(named(&mut book, 100, 50, "5"));
    assert_eq!(book.limit(server()), Some(limit("5")));
    assert_eq!(book.latest(server()).version, 2);
}

/// An answer that was asked for before the last change may be older than that.
#[rstest]
#[case::more("8", None)]
#[case::less("1", Some("1"))]
fn limit_in_an_older_answer(#[case] text: &str, #[case] expected: Option<&str>) {
    let mut book = book_of_three();
    let changed =
        book.apply_answer(at(200), at(0) - Duration::from_millis(1), server(), limit(text));
    assert_eq!(changed.is_some(), expected.is_some());
    assert_eq!(book.limit(server()), Some(limit(expected.unwrap_or("3"))));
}

#[test]
fn limit_taken_back_after_answers_without_it() {
    let mut book = book_of_three();
    let mut limits = Vec::new();
    for answer in 1..=7 {
        assert_eq!(book.record_answer(at(answer), server(), 1, false), None);
        limits.extend(book.limit(server()).map(|limit| limit.to_string()));
    }
    assert_eq!(limits, ["3", "6", "12", "24", "48", "96", "192"]);
    assert!(book.record_answer(at(8), server(), 1, false).is_some());
    assert_eq!(book.limit(server()), None);
    assert_eq!(book.latest(server()).version, 2);
    // An older answer does not name it again, a later one does.
    assert!(!named(&mut book, 10, 7, "3"));
    assert!(named(&mut book, 20, 8, "3"));
}

#[test]
fn limit_left_out_now_and_then_stands() {
    let mut book = book_of_three();
    for answer in 0..=30 {
        assert_eq!(book.record_answer(at(answer), server(), 1, answer % 3 == 0), None);
    }
    assert_eq!(book.limit(server()), Some(limit("3")));
}

/// Answers under another limit than the one in force tell nothing of that.
#[test]
fn answers_of_another_version_do_not_count() {
    let mut book = book_of_three();
    assert!(named(&mut book, 10, 5, "5"));
    for answer in 0..10 {
        assert_eq!(book.record_answer(at(20 + answer), server(), 1, false), None);
    }
    assert_eq!(book.limit(server()), Some(limit("5")));
}

#[test]
fn limit_in_doubt_lets_requests_find_out() {
    let mut book = LimitTable::default();
    assert!(named(&mut book, 0, 0, "0.1"));
    assert_eq!(book.record_answer(at(1), server(), 1, false), None);
    assert_eq!(book.limit(server()), Some(limit("1")));
    assert_eq!(book.record_answer(at(2), server(), 1, true), None);
    assert_eq!(book.limit(server()), Some(limit("0.1")));
}

#[test]
fn limit_of_zero_is_asked_after() {
    let mut book = LimitTable::default();
    assert!(named(&mut book, 0, 0, "0"));
    assert_eq!(book.limit(server()), Some(limit("0.05")));
}

#[rstest]
#[case::later(news(2, Some("5")), true)]
#[case::later_taken_back(news(2, None), true)]
#[case::earlier(news(0, Some("1")), false)]
#[case::as_late_and_less(news(1, Some("1")), true)]
#[case::as_late_and_more(news(1, Some("5")), false)]
#[case::as_late_and_taken_back(news(1, None), false)]
fn news_merged(#[case] heard: LimitUpdate, #[case] adopted: bool) {
    let mut book = book_of_three();
    assert_eq!(book.merge(at(10), &heard).is_some(), adopted);
    assert_eq!(book.latest(server()) == heard, adopted);
}

#[test]
fn news_told_a_bounded_number_of_times_then_each_second() {
    let mut book = book_of_three();
    let told = (0..9).filter(|place| !book.unsent(at(place * 100)).is_empty()).count();
    assert_eq!(told, 4);
    assert_eq!(book.unsent(at(1500)).len(), 1);
}

#[test]
fn limits_of_servers_that_are_gone_are_forgotten() {
    let mut book = book_of_three();
    book.expire(at(59_000), |_| false);
    assert!(book.limit(server()).is_some());
    book.expire(at(61_000), |_| true);
    assert!(book.limit(server()).is_some());
    book.expire(at(61_000), |_| false);
    assert_eq!(book.limit(server()), None);
}
