//! Limits that backend servers name: how they are parsed, and which answers and updates change them.

use rstest::rstest;
use std::time::Duration;
use tealcleat::platform::{LimitHeader, read_limit};
use tealcleat::server_limits::{LimitTable, LimitUpdate};

mod limit_common;

use limit_common::{at, limit, server, update};

fn naming(values: &[&str]) -> LimitHeader {
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
    let LimitHeader::Valid(limit) = naming(&[text]) else { panic!("{text:?} is not parsed") };
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
    assert!(matches!(naming(&[text]), LimitHeader::Malformed(_)), "{text:?}");
}

#[test]
fn limit_named_twice() {
    assert_eq!(naming(&["5", "3.3"]), LimitHeader::Valid(limit("3.3")));
    assert!(matches!(naming(&["5", "x"]), LimitHeader::Malformed(_)));
    assert_eq!(naming(&[]), LimitHeader::Absent);
}

fn named(table: &mut LimitTable, now: u64, sent: u64, text: &str) -> bool {
    table.apply_answer(at(now), at(sent), server(), limit(text)).is_some()
}

/// A table that learned a limit of 3 at 0 ms.
fn table_of_three() -> LimitTable {
    let mut table = LimitTable::default();
    assert!(named(&mut table, 0, 0, "3"));
    table
}

#[test]
fn limit_changes_with_later_answers() {
    let mut table = table_of_three();
    assert!(!named(&mut table, 100, 50, "3"));
    assert!(named(&mut table, 100, 50, "5"));
    assert_eq!(table.limit(server()), Some(limit("5")));
    assert_eq!(table.latest(server()).version, 2);
}

/// An answer to a request that was sent before the last change may be older than that change.
#[rstest]
#[case::more("8", None)]
#[case::less("1", Some("1"))]
fn limit_in_an_older_answer(#[case] text: &str, #[case] expected: Option<&str>) {
    let mut table = table_of_three();
    let changed =
        table.apply_answer(at(200), at(0) - Duration::from_millis(1), server(), limit(text));
    assert_eq!(changed.is_some(), expected.is_some());
    assert_eq!(table.limit(server()), Some(limit(expected.unwrap_or("3"))));
}

#[test]
fn limit_withdrawn_after_answers_without_it() {
    let mut table = table_of_three();
    let mut limits = Vec::new();
    for answer in 1..=7 {
        assert_eq!(table.record_answer(at(answer), server(), 1, false), None);
        limits.extend(table.limit(server()).map(|limit| limit.to_string()));
    }
    assert_eq!(limits, ["3", "6", "12", "24", "48", "96", "192"]);
    assert!(table.record_answer(at(8), server(), 1, false).is_some());
    assert_eq!(table.limit(server()), None);
    assert_eq!(table.latest(server()).version, 2);
    // An older answer does not restore the limit; a later one does.
    assert!(!named(&mut table, 10, 7, "3"));
    assert!(named(&mut table, 20, 8, "3"));
}

#[test]
fn limit_missing_from_some_answers_stays() {
    let mut table = table_of_three();
    for answer in 0..=30 {
        assert_eq!(table.record_answer(at(answer), server(), 1, answer % 3 == 0), None);
    }
    assert_eq!(table.limit(server()), Some(limit("3")));
}

/// Answers that refer to another version of the limit do not count for the one in force.
#[test]
fn answers_of_another_version_not_counted() {
    let mut table = table_of_three();
    assert!(named(&mut table, 10, 5, "5"));
    for answer in 0..10 {
        assert_eq!(table.record_answer(at(20 + answer), server(), 1, false), None);
    }
    assert_eq!(table.limit(server()), Some(limit("5")));
}

#[test]
fn limit_in_doubt_allows_probing_requests() {
    let mut table = LimitTable::default();
    assert!(named(&mut table, 0, 0, "0.1"));
    assert_eq!(table.record_answer(at(1), server(), 1, false), None);
    assert_eq!(table.limit(server()), Some(limit("1")));
    assert_eq!(table.record_answer(at(2), server(), 1, true), None);
    assert_eq!(table.limit(server()), Some(limit("0.1")));
}

#[test]
fn limit_of_zero_allows_probing_requests() {
    let mut table = LimitTable::default();
    assert!(named(&mut table, 0, 0, "0"));
    assert_eq!(table.limit(server()), Some(limit("0.05")));
}

#[rstest]
#[case::later(update(2, Some("5")), true)]
#[case::later_and_withdrawn(update(2, None), true)]
#[case::earlier(update(0, Some("1")), false)]
#[case::same_version_and_less(update(1, Some("1")), true)]
#[case::same_version_and_more(update(1, Some("5")), false)]
#[case::same_version_and_withdrawn(update(1, None), false)]
fn updates_merged(#[case] received: LimitUpdate, #[case] adopted: bool) {
    let mut table = table_of_three();
    assert_eq!(table.merge(at(10), &received).is_some(), adopted);
    assert_eq!(table.latest(server()) == received, adopted);
}

#[test]
fn updates_sent_a_bounded_number_of_times_then_each_second() {
    let mut table = table_of_three();
    let sends = (0..9).filter(|step| !table.unsent(at(step * 100)).is_empty()).count();
    assert_eq!(sends, 4);
    assert_eq!(table.unsent(at(1500)).len(), 1);
}

#[test]
fn limits_of_removed_servers_expire() {
    let mut table = table_of_three();
    table.expire(at(59_000), |_| false);
    assert!(table.limit(server()).is_some());
    table.expire(at(61_000), |_| true);
    assert!(table.limit(server()).is_some());
    table.expire(at(61_000), |_| false);
    assert_eq!(table.limit(server()), None);
}
