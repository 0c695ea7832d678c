//! Trials of excluded servers: which host makes them, after which pause, and what happens if it is lost.

use rstest::rstest;
use std::time::Duration;
use tealcleat::placement::ServerEvent;
use tealcleat::shared_health::{INITIAL_PAUSE, MAX_PAUSE, MAX_TRIAL_PAUSE, ServerStanding};

mod health_common;

use health_common::{HOSTS, at, group_excluding_first, key, millis};

/// Each failure of the trial doubles the pause; only one host of the server's domain makes it.
#[test]
fn trial_is_made_by_one_host_after_a_growing_pause() {
    let mut group = group_excluding_first();
    let (mut since, mut pause) = (30, INITIAL_PAUSE);
    for _ in 0..6 {
        let due = at(since) + pause;
        let early = group.trying(due - Duration::from_millis(31), 0);
        assert!(early.is_empty(), "{early:?} before {pause:?} after {since}");
        group.run(since, millis(due));
        let trying = group.trying(due, 0);
        assert_eq!(trying.len(), 1, "{trying:?} after {pause:?}");
        assert_eq!(trying[0] % 3, 0, "a host of the server's domain");
        group.observe(due, trying[0], 0, ServerEvent::Sent);
        assert!(group.trying(due, 0).is_empty(), "one trial at a time");
        group.observe(due, trying[0], 0, ServerEvent::BrokeOff);
        since = millis(due) + 30;
        group.run(millis(due), since);
        pause = (pause * 2).min(MAX_TRIAL_PAUSE);
    }
    assert_eq!(pause, MAX_TRIAL_PAUSE);
    let due = at(since) + pause;
    group.run(since, millis(due));
    let trying = group.trying(due, 0)[0];
    group.observe(due, trying, 0, ServerEvent::Sent);
    group.observe(due, trying, 0, ServerEvent::Served);
    group.run(millis(due), millis(due) + 30);
    assert!(group.excluding(0).is_empty(), "one success readmits it for all hosts");
}

/// Guards against a server that fails repeatedly soon after its return, which would cost requests each time.
#[rstest]
#[case::unstable(5_000, INITIAL_PAUSE * 2)]
#[case::stable(11_000, INITIAL_PAUSE)]
fn pause_doubles_while_the_server_is_unstable(#[case] up_ms: u64, #[case] expected: Duration) {
    let mut group = group_excluding_first();
    group.run(30, 540);
    let trying = group.trying(at(540), 0)[0];
    group.observe(at(540), trying, 0, ServerEvent::Served);
    group.run(540, 540 + up_ms);
    let failed_at = 540 + up_ms;
    for host in [0, 3] {
        group.observe(at(failed_at), host, 0, ServerEvent::BrokeOff);
    }
    group.run(failed_at, failed_at + 30);
    assert_eq!(group.excluding(0).len(), HOSTS);
    let due = at(failed_at + 30) + expected;
    assert!(group.trying(due - Duration::from_millis(31), 0).is_empty());
    assert_eq!(group.trying(due, 0).len(), 1);
}

/// Each return that does not last doubles the pause, up to its bound.
#[test]
fn pause_of_a_server_that_keeps_failing_is_bounded() {
    let mut group = group_excluding_first();
    let (mut now_ms, mut pause) = (30, INITIAL_PAUSE);
    for _ in 0..7 {
        let due = at(now_ms) + pause;
        assert!(group.trying(due - Duration::from_millis(31), 0).is_empty(), "{pause:?}");
        group.run(now_ms, millis(due));
        let trying = group.trying(due, 0);
        assert_eq!(trying.len(), 1, "{pause:?}");
        group.observe(due, trying[0], 0, ServerEvent::Served);
        let failed_at = millis(due) + 200;
        group.run(millis(due), failed_at);
        for host in [0, 3] {
            group.observe(at(failed_at), host, 0, ServerEvent::BrokeOff);
        }
        now_ms = failed_at + 30;
        group.run(failed_at, now_ms);
        pause = (pause * 2).min(MAX_PAUSE);
    }
    assert_eq!(pause, MAX_PAUSE);
}

/// The host whose turn it is dies, or sends nothing there: the next one tries.
#[rstest]
#[case::dead(true)]
#[case::idle(false)]
fn next_host_makes_the_trial_of_a_silent_one(#[case] is_dead: bool) {
    let mut group = group_excluding_first();
    let first = group.trying(at(540), 0)[0];
    if is_dead {
        group.dead.insert(first);
    }
    group.run(30, 1_040);
    let second = group.trying(at(1_040), 0);
    assert_eq!(second.len(), 1);
    assert_ne!(second[0], first);
    assert_eq!(second[0] % 3, 0);
}

/// The trial host dies after it sent its request: its result never comes, and another host tries.
#[test]
fn trial_host_dies_in_the_middle_of_its_trial() {
    let mut group = group_excluding_first();
    let first = group.trying(at(540), 0)[0];
    group.run(30, 540);
    group.observe(at(540), first, 0, ServerEvent::Sent);
    group.dead.insert(first);
    group.run(540, 1_100);
    let second = group.trying(at(1_100), 0)[0];
    group.observe(at(1_100), second, 0, ServerEvent::Sent);
    group.observe(at(1_100), second, 0, ServerEvent::Served);
    group.run(1_100, 1_150);
    assert_eq!(group.excluding(0), [first]);
}

/// Without a living host in the server's domain, each other domain makes its own trial.
#[test]
fn other_domains_try_a_server_whose_domain_has_no_host() {
    let mut group = group_excluding_first();
    group.dead.extend([0, 3, 6]);
    let trying = group.trying(at(540), 0);
    assert_eq!(trying.len(), 2);
    assert_ne!(trying[0] % 3, trying[1] % 3);
}

/// A request that runs only once is the trial only if no repeatable request was.
#[test]
fn once_only_request_is_the_trial_only_after_a_wait() {
    let group = group_excluding_first();
    let host = group.trying(at(540), 0)[0];
    assert_eq!(group.standing(at(540), host, 0), ServerStanding::Trial);
    let early = group.standings(at(540), host, None);
    assert!(early.admits(key(0), true) && !early.admits(key(0), false));
    let late = group.trying(at(1_600), 0)[0];
    assert!(group.standings(at(1_600), late, None).admits(key(0), false));
}

/// An answer with an error and the answer to a call for a hold show nothing: the trial is repeated.
#[rstest]
#[case::answered(ServerEvent::Answered)]
#[case::errored(ServerEvent::Errored)]
fn trial_without_result_is_repeated(#[case] event: ServerEvent) {
    let mut group = group_excluding_first();
    let host = group.trying(at(540), 0)[0];
    group.observe(at(540), host, 0, ServerEvent::Sent);
    assert!(group.trying(at(545), 0).is_empty());
    group.observe(at(550), host, 0, event);
    assert_eq!(group.trying(at(560), 0), [host]);
    assert_eq!(group.excluding(0).len(), HOSTS);
}
