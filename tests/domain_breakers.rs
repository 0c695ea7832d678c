//! Breakers of whole failure domains: what opens them, and what does not.

use rstest::rstest;
use tealcleat::keys::{NameKey, ServerKey, TimePoint};
use tealcleat::placement::DomainBreakers;

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}

/// Guards against timeouts in partitioned domains: without a breaker for the whole domain, 188 hold
/// requests of 0.2 s each went unanswered.
#[test]
fn domain_breaker_opened_by_two_unresponsive_servers() {
    let far = NameKey::of("far");
    let mut domains = DomainBreakers::default();
    assert!(!domains.record_unresponsive(at(0), far, ServerKey::of("a"), false));
    assert!(domains.admits(at(10), far), "a single server may have crashed");
    assert!(domains.record_unresponsive(at(200), far, ServerKey::of("b"), false));
    assert!(!domains.admits(at(210), far));
    assert!(domains.admits(at(210), NameKey::of("other")));
    assert!(domains.admits(at(710), far), "a trial is admitted");
    domains.record_sent(at(710), far);
    assert!(!domains.admits(at(720), far), "only one trial at a time");
    assert!(
        !domains.record_unresponsive(at(910), far, ServerKey::of("a"), false),
        "the breaker was already open"
    );
    assert!(!domains.admits(at(1500), far), "the pause has doubled");
    domains.record_answer(far);
    assert!(domains.admits(at(1500), far));
}

/// Guards against a host that reaches no server and refuses all its callers: calls through hosts that were cut off as well
/// went unanswered, and opened the breaker of the servers' domain.
#[test]
fn domain_breaker_not_opened_by_a_host_that_is_cut_off() {
    let far = NameKey::of("far");
    let mut domains = DomainBreakers::default();
    assert!(!domains.record_unresponsive(at(0), far, ServerKey::of("a"), true));
    assert!(!domains.record_unresponsive(at(200), far, ServerKey::of("b"), true));
    assert!(domains.admits(at(210), far));
    assert!(!domains.record_unresponsive(at(300), far, ServerKey::of("b"), false));
    assert!(domains.admits(at(310), far), "what it recorded meanwhile does not count either");
}

#[rstest]
#[case::same_server("a", 200, false)]
#[case::much_later("b", 1200, false)]
#[case::answer_between("b", 200, true)]
fn domain_breaker_stays_closed(#[case] second: &str, #[case] millis: u64, #[case] answered: bool) {
    let far = NameKey::of("far");
    let mut domains = DomainBreakers::default();
    domains.record_unresponsive(at(0), far, ServerKey::of("a"), false);
    if answered {
        domains.record_answer(far);
    }
    assert!(!domains.record_unresponsive(at(millis), far, ServerKey::of(second), false));
    assert!(domains.admits(at(millis + 1), far));
}
