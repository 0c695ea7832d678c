//! Limits that backend servers name: what is read as one, what is believed of them, and what owners grant.

use rstest::rstest;
use std::time::Duration;
use tealcleat::keys::{IncarnationId, NameKey, ServerKey, TimePoint};
use tealcleat::platform::{LimitNaming, read_limit};
use tealcleat::server_limits::{
    AskPurpose, CallRank, LimitAnswered, LimitBook, LimitNews, SendControl, SendDecision, SendDesk,
    SendTrail, ServerLimit,
};

const URGENT: CallRank = CallRank::new(0, 0);
const USUAL: CallRank = CallRank::new(0, 3);
/// Owners grant nothing before they could hear what was sent.
const LEARNED_MS: u64 = 1_000;

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(100_000 + millis)
}

fn server() -> ServerKey {
    NameKey::of("i-service-0")
}

fn limit(text: &str) -> ServerLimit {
    ServerLimit::try_from(text).expect("a limit")
}

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

fn named(book: &mut LimitBook, now: u64, sent: u64, text: &str) -> bool {
    book.hear(at(now), at(sent), server(), limit(text)).is_some()
}

/// A book that heard of a limit of 3 at 0 ms.
fn book_of_three() -> LimitBook {
    let mut book = LimitBook::default();
    assert!(named(&mut book, 0, 0, "3"));
    book
}

#[test]
fn limit_changes_with_later_answers() {
    let mut book = book_of_three();
    assert!(!named(&mut book, 100, 50, "3"));
    assert!(named(&mut book, 100, 50, "5"));
    assert_eq!(book.limit(server()), Some(limit("5")));
    assert_eq!(book.news(server()).version, 2);
}

/// An answer that was asked for before the last change may be older than that.
#[rstest]
#[case::more("8", None)]
#[case::less("1", Some("1"))]
fn limit_in_an_older_answer(#[case] text: &str, #[case] expected: Option<&str>) {
    let mut book = book_of_three();
    let changed = book.hear(at(200), at(0) - Duration::from_millis(1), server(), limit(text));
    assert_eq!(changed.is_some(), expected.is_some());
    assert_eq!(book.limit(server()), Some(limit(expected.unwrap_or("3"))));
}

#[test]
fn limit_taken_back_after_answers_without_it() {
    let mut book = book_of_three();
    let mut limits = Vec::new();
    for answer in 1..=7 {
        assert_eq!(book.note_answer(at(answer), server(), 1, false), None);
        limits.extend(book.limit(server()).map(|limit| limit.to_string()));
    }
    assert_eq!(limits, ["3", "6", "12", "24", "48", "96", "192"]);
    assert!(book.note_answer(at(8), server(), 1, false).is_some());
    assert_eq!(book.limit(server()), None);
    assert_eq!(book.news(server()).version, 2);
    // An older answer does not name it again, a later one does.
    assert!(!named(&mut book, 10, 7, "3"));
    assert!(named(&mut book, 20, 8, "3"));
}

#[test]
fn limit_left_out_now_and_then_stands() {
    let mut book = book_of_three();
    for answer in 0..=30 {
        assert_eq!(book.note_answer(at(answer), server(), 1, answer % 3 == 0), None);
    }
    assert_eq!(book.limit(server()), Some(limit("3")));
}

/// Answers under another limit than the one in force tell nothing of that.
#[test]
fn answers_of_another_version_do_not_count() {
    let mut book = book_of_three();
    assert!(named(&mut book, 10, 5, "5"));
    for answer in 0..10 {
        assert_eq!(book.note_answer(at(20 + answer), server(), 1, false), None);
    }
    assert_eq!(book.limit(server()), Some(limit("5")));
}

#[test]
fn limit_in_doubt_lets_requests_find_out() {
    let mut book = LimitBook::default();
    assert!(named(&mut book, 0, 0, "0.1"));
    assert_eq!(book.note_answer(at(1), server(), 1, false), None);
    assert_eq!(book.limit(server()), Some(limit("1")));
    assert_eq!(book.note_answer(at(2), server(), 1, true), None);
    assert_eq!(book.limit(server()), Some(limit("0.1")));
}

#[test]
fn limit_of_zero_is_asked_after() {
    let mut book = LimitBook::default();
    assert!(named(&mut book, 0, 0, "0"));
    assert_eq!(book.limit(server()), Some(limit("0.05")));
}

fn news(version: u32, text: Option<&str>) -> LimitNews {
    LimitNews { server: server(), version, limit: text.map(limit) }
}

#[rstest]
#[case::later(news(2, Some("5")), true)]
#[case::later_taken_back(news(2, None), true)]
#[case::earlier(news(0, Some("1")), false)]
#[case::as_late_and_less(news(1, Some("1")), true)]
#[case::as_late_and_more(news(1, Some("5")), false)]
#[case::as_late_and_taken_back(news(1, None), false)]
fn news_merged(#[case] heard: LimitNews, #[case] adopted: bool) {
    let mut book = book_of_three();
    assert_eq!(book.merge(at(10), &heard).is_some(), adopted);
    assert_eq!(book.news(server()) == heard, adopted);
}

#[test]
fn news_told_a_bounded_number_of_times_then_each_second() {
    let mut book = book_of_three();
    let told = (0..9).filter(|place| !book.untold(at(place * 100)).is_empty()).count();
    assert_eq!(told, 4);
    assert_eq!(book.untold(at(1500)).len(), 1);
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

/// An owner that knows of a limit, and hosts that ask it.
struct AskedOwner {
    desk: SendDesk,
    host: SendControl,
    limit: ServerLimit,
}

impl AskedOwner {
    fn new(text: &str) -> Self {
        let mut host = SendControl::default();
        let change = host.book.hear(at(0), at(0), server(), limit(text));
        assert!(change.is_some());
        Self { desk: SendDesk::default(), host, limit: limit(text) }
    }

    /// The decision on a question, which the host adopts.
    fn ask(&mut self, now: u64, rank: CallRank, purpose: AskPurpose) -> SendDecision {
        let ask = self.host.ask(at(now), server(), rank, purpose);
        let decision = self.desk.receive(at(now), IncarnationId(1), &ask, self.limit);
        if purpose == AskPurpose::Send && decision == SendDecision::Granted {
            self.host.log.note(at(now), server());
        }
        decision
    }

    fn is_granted(&mut self, now: u64, rank: CallRank) -> bool {
        self.ask(now, rank, AskPurpose::Send) == SendDecision::Granted
    }

    /// Requests granted of those asked for each 20 ms.
    fn granted(&mut self, millis: std::ops::Range<u64>, rank: CallRank) -> usize {
        millis.step_by(20).filter(|now| self.is_granted(*now, rank)).count()
    }
}

#[test]
fn new_owner_learns_before_it_grants() {
    let mut owner = AskedOwner::new("5");
    assert_eq!(owner.granted(0..800, USUAL), 0);
    assert!(owner.is_granted(LEARNED_MS, USUAL));
}

#[rstest]
#[case("0.3", 6)]
#[case("0.8", 16)]
#[case("3.3", 66)]
#[case("8", 160)]
fn owner_grants_what_the_limit_allows(#[case] text: &str, #[case] expected: usize) {
    let mut owner = AskedOwner::new(text);
    owner.granted(0..LEARNED_MS, USUAL);
    let granted = owner.granted(LEARNED_MS..LEARNED_MS + 20_000, USUAL);
    assert!(granted.abs_diff(expected) <= 2, "{granted} of {expected}");
}

/// What was sent before the limit was named counts from its first moment.
#[test]
fn owner_counts_what_was_sent_before() {
    let mut owner = AskedOwner::new("3.3");
    (0..20).for_each(|place| owner.host.log.note(at(place * 50), server()));
    owner.desk = SendDesk::default();
    assert_eq!(owner.granted(1_000..1_020, USUAL), 0);
    // 20 in the window; with 3.3 a second 20.5 are the most that it may hold.
    assert_eq!(owner.granted(2_000..3_900, USUAL), 1);
    assert!(owner.granted(4_300..8_000, USUAL) >= 10);
}

/// An owner that knows nothing of the limit's past hears it from those that sent.
#[test]
fn new_owner_goes_on_from_what_hosts_sent() {
    let mut owner = AskedOwner::new("8");
    let before = owner.granted(0..4_000, USUAL);
    owner.desk = SendDesk::default();
    let after = owner.granted(4_000..5_000, USUAL);
    // Four seconds of the limit, its tolerance and the five requests of slack.
    assert!(before + after <= 53, "{before} and {after}");
    assert!(after <= 8, "{after} within a second");
}

/// Another host has granted meanwhile what this one does not know of.
#[test]
fn owner_that_was_suspended_learns_again() {
    let mut owner = AskedOwner::new("5");
    for now in (0..3_000).step_by(200) {
        owner.desk.retain(at(now), |_| true);
        owner.granted(now..now + 200, USUAL);
    }
    assert!(owner.is_granted(3_200, USUAL));
    owner.desk.retain(at(8_000), |_| true);
    assert!(!owner.is_granted(8_010, USUAL));
    assert!(owner.is_granted(9_000, USUAL));
}

#[test]
fn question_asked_twice_is_granted_once() {
    let mut owner = AskedOwner::new("5");
    owner.granted(0..LEARNED_MS, USUAL);
    let ask = owner.host.ask(at(5_000), server(), USUAL, AskPurpose::Send);
    let decide =
        |owner: &mut AskedOwner| owner.desk.receive(at(5_000), IncarnationId(1), &ask, limit("5"));
    assert_eq!(decide(&mut owner), SendDecision::Granted);
    assert_eq!(decide(&mut owner), SendDecision::Granted);
    // The bucket held two and a quarter: one is left, since none was taken twice.
    assert!(owner.is_granted(5_000, USUAL));
    assert!(!owner.is_granted(5_000, USUAL));
}

#[test]
fn request_that_did_not_go_is_given_back() {
    let mut owner = AskedOwner::new("1");
    owner.granted(0..LEARNED_MS, USUAL);
    assert!(owner.is_granted(2_000, USUAL));
    assert!(!owner.is_granted(2_010, USUAL));
    owner.host.log.take_back(at(2_000), server());
    owner.ask(2_020, USUAL, AskPurpose::GiveBack);
    assert!(owner.is_granted(2_030, USUAL));
}

#[test]
fn lowered_limit_holds_at_once() {
    let mut owner = AskedOwner::new("8");
    owner.granted(0..8_000, USUAL);
    owner.limit = limit("1");
    let granted = owner.granted(8_000..16_000, USUAL);
    assert!(granted <= 8, "{granted}");
}

/// Urgent requests go first; the others keep a quarter.
#[test]
fn scarce_requests_go_by_rank() {
    let mut owner = AskedOwner::new("4");
    owner.granted(0..LEARNED_MS, USUAL);
    let (mut urgent, mut usual) = (0, 0);
    for now in (LEARNED_MS..LEARNED_MS + 20_000).step_by(20) {
        usual += usize::from(owner.is_granted(now, USUAL));
        urgent += usize::from(owner.is_granted(now + 10, URGENT));
    }
    assert!(usual >= 16, "{usual} usual ones");
    assert!(urgent >= 3 * usual - 6, "{urgent} urgent ones, {usual} usual ones");
    assert!(urgent + usual >= 76, "{urgent} and {usual}");
}

/// Callers that are refused together are told to come back one after the other.
#[test]
fn callers_come_back_as_the_limit_lets_them_in() {
    let mut owner = AskedOwner::new("2");
    owner.granted(0..LEARNED_MS + 1_000, USUAL);
    let waits: Vec<u32> = (0..4)
        .map(|_| match owner.ask(2_000, USUAL, AskPurpose::ComeBack) {
            SendDecision::Refused { wait_ms } => wait_ms,
            SendDecision::Granted => panic!("a caller that comes back is told when"),
        })
        .collect();
    assert!(waits[0] <= 500, "{waits:?}");
    assert!(waits.windows(2).all(|pair| pair[1] - pair[0] == 500), "{waits:?}");
    let last = (0..60).map(|_| owner.ask(2_000, USUAL, AskPurpose::ComeBack)).last();
    assert_eq!(last, Some(SendDecision::Refused { wait_ms: 10_000 }));
}

#[test]
fn host_that_is_not_the_owner_grants_nothing() {
    let mut asking = AskedOwner::new("5").host;
    let ask = asking.ask(at(5_000), server(), USUAL, AskPurpose::Send);
    let mut other = SendControl::default();
    let (reply, change) = other.receive(at(5_000), IncarnationId(1), &ask, false);
    assert!(matches!(reply.decision, SendDecision::Refused { .. }));
    assert!(change.is_some(), "it learns of the limit");
    assert!(!asking.hear_reply(at(5_001), &ask, Some(&reply)));
    assert!(!asking.is_open(at(5_050), server(), USUAL));
    assert!(asking.is_open(at(5_150), server(), USUAL));
}

#[test]
fn refusal_of_a_usual_request_leaves_the_server_open_for_urgent_ones() {
    let mut asking = AskedOwner::new("5").host;
    let ask = asking.ask(at(5_000), server(), USUAL, AskPurpose::Send);
    assert!(!asking.hear_reply(at(5_000), &ask, None));
    assert!(!asking.is_open(at(5_001), server(), USUAL));
    assert!(asking.is_open(at(5_001), server(), URGENT));
}

/// Whoever asks a host that knows of the end of a limit may send, and learns of it.
#[test]
fn taken_back_limit_is_granted_by_whoever_knows() {
    let mut asking = AskedOwner::new("5").host;
    let mut other = SendControl::default();
    let told = news(1, Some("5"));
    for place in 0..8 {
        other.hear_answered(at(place), &LimitAnswered { news: told, is_named: false });
    }
    let ask = asking.ask(at(10), server(), USUAL, AskPurpose::Send);
    let (reply, _) = other.receive(at(10), IncarnationId(1), &ask, false);
    assert_eq!(reply.decision, SendDecision::Granted);
    assert!(asking.hear_reply(at(11), &ask, Some(&reply)));
    assert_eq!(asking.book.limit(server()), None);
}

#[test]
fn trail_of_a_busy_server_is_bounded() {
    let mut host = AskedOwner::new("5").host;
    (0..200_000).for_each(|place| host.log.note(at(place / 20), server()));
    let SendTrail(points) = host.log.trail(at(10_000), server());
    assert!(points.len() <= 100, "{} points", points.len());
    let sent: u32 = points.iter().map(|point| u32::from(point.count)).sum();
    assert!(sent.abs_diff(100_000) <= 1_000, "{sent}");
}
