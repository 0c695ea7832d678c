//! Who asks the store, how often in an outage, and who holds an office that needs it.

use rstest::rstest;
use std::time::Duration;
use tealcleat::fleet::{RefusedHosts, RoleInput, WatcherRole, watcher_role};
use tealcleat::keys::{IncarnationId, TimePoint};

mod role_common;

use role_common::calm_input;

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}

#[rstest]
#[case::elected(None, true, 0, None, WatcherRole::Watch)]
#[case::neighbours_asked_first(Some(19), true, 0, None, WatcherRole::Follow)]
#[case::no_neighbour_had_a_view(Some(500), false, 0, None, WatcherRole::Watch)]
#[case::calm(None, false, 1500, None, WatcherRole::Follow)]
#[case::watcher_cut_off(None, false, 4400, None, WatcherRole::Poll)]
#[case::refused_just_now(None, false, 500, Some(1900), WatcherRole::Follow)]
#[case::refused_by_all(None, false, 9000, Some(1900), WatcherRole::Follow)]
#[case::refused_a_while_ago(None, false, 500, Some(2000), WatcherRole::Poll)]
#[case::refused_but_nobody_else(None, true, 500, Some(10), WatcherRole::Watch)]
fn watch_duty_follows(
    #[case] uninformed_for_ms: Option<u64>,
    #[case] elected: bool,
    #[case] view_age_ms: u64,
    #[case] refused_for_ms: Option<u64>,
    #[case] expected: WatcherRole,
) {
    let view = RoleInput {
        without_view_for: uninformed_for_ms.map(Duration::from_millis),
        elected,
        view_age: Duration::from_millis(view_age_ms),
        store_refused_for: refused_for_ms.map(Duration::from_millis),
        ..calm_input()
    };
    assert_eq!(watcher_role(&view), expected);
}

/// Pattern: an outage of the store, noticed by a whole failure domain. Each of its hosts asked by
/// itself every second; by reckoning 295 hosts make 4,700 calls in 8 s.
#[rstest]
#[case::small(8)]
#[case::large(59)]
#[case::larger(400)]
fn calls_in_an_outage_do_not_grow_with_the_domain(#[case] domain_hosts: usize) {
    let outage = Duration::from_secs(30);
    let mut calls = 0;
    for host in 0..domain_hosts {
        let mut refused_at: Option<Duration> = None;
        for millis in (0..30_000).step_by(100) {
            let now = Duration::from_millis(millis);
            let view = RoleInput {
                view_age: now,
                store_refused_for: refused_at.map(|at| now - at),
                domain_hosts,
                salt: host as u64 * 7919,
                ..calm_input()
            };
            if watcher_role(&view) == WatcherRole::Poll {
                calls += 1;
                refused_at = Some(now);
            }
        }
    }
    let a_second = f64::from(calls) / outage.as_secs_f64();
    assert!((1.0..=5.0).contains(&a_second), "{a_second} calls a second");
}

/// Pattern: a host that is told of a newer view and cannot get it from others. It heard that the store had answered them
/// a moment ago, and took that for a sign that its own view was fresh.
#[rstest]
#[case::just_told(599, WatcherRole::Follow)]
#[case::others_had_their_time(1001, WatcherRole::Poll)]
fn host_behind_asks_the_store_itself(#[case] behind_ms: u64, #[case] expected: WatcherRole) {
    for salt in 0..1000 {
        let view = RoleInput {
            view_age: Duration::from_millis(100),
            behind_for: Some(Duration::from_millis(behind_ms)),
            domain_hosts: 100,
            salt,
            ..calm_input()
        };
        assert_eq!(watcher_role(&view), expected);
    }
}

/// Pattern: the store turns all hosts away that could be elected, and answers others. These asked when in doubt only, once
/// in 2.3 s or more.
#[rstest]
#[case::watcher_refused(Some(200), WatcherRole::Watch)]
#[case::not_answered_lately(Some(1500), WatcherRole::Follow)]
#[case::watcher_answered(None, WatcherRole::Follow)]
fn answered_host_stands_in_for_a_refused_watcher(
    #[case] answered_ms: Option<u64>,
    #[case] expected: WatcherRole,
) {
    let view = RoleInput {
        store_answered_for: answered_ms.map(Duration::from_millis),
        view_age: Duration::from_millis(100),
        domain_hosts: 60,
        ..calm_input()
    };
    assert_eq!(watcher_role(&view), expected);
}

/// Bench: panelbridge-kr, the own day `storm`, seed 1 (CONFIG). The store turned the watchers of all
/// three domains away; they stayed elected, and the others asked only every 2.5 s.
#[test]
fn refused_hosts_not_elected_while_others_are_answered() {
    let mut refused = RefusedHosts::default();
    let hosts = [IncarnationId(1), IncarnationId(2), IncarnationId(3)];
    let elected = |refused: &RefusedHosts, millis| {
        refused.elect(at(millis), hosts.iter().copied()).map(|host| host.0)
    };
    assert_eq!(elected(&refused, 0), Some(1));
    assert!(refused.record(at(0), hosts[0], true));
    assert!(!refused.record(at(500), hosts[0], true), "nothing new");
    assert_eq!(elected(&refused, 600), Some(2));
    refused.record(at(600), hosts[1], true);
    assert_eq!(elected(&refused, 600), Some(3));
    refused.record(at(600), hosts[2], true);
    assert_eq!(elected(&refused, 700), Some(1), "somebody has to ask");
    assert!(refused.record(at(800), hosts[0], false));
    refused.record(at(900), hosts[0], true);
    assert!(refused.record(at(1000), hosts[2], false));
    assert_eq!(elected(&refused, 1100), Some(3));
    assert_eq!(elected(&refused, 6700), Some(2), "the second one did not repeat it");
    assert_eq!(elected(&refused, 7100), Some(1), "nor did the first");
}

/// Pattern: hosts that start and end while one holds an office. By a hash of ids, each start among
/// 300 hosts could take it over.
#[test]
fn office_stays_with_the_oldest_host() {
    let refused = RefusedHosts::default();
    let mut hosts: Vec<IncarnationId> = (10..40).map(IncarnationId).collect();
    for newcomer in 40..100 {
        assert_eq!(refused.elect(at(0), hosts.iter().copied()), Some(IncarnationId(10)));
        hosts.push(IncarnationId(newcomer));
        hosts.remove(1);
    }
}

/// Pattern: the store turns everybody away. Each new holder of the office costs a call and a notice
/// to all; the search ends after a few.
#[test]
fn office_is_not_passed_through_all_hosts_in_an_outage() {
    let mut refused = RefusedHosts::default();
    let hosts: Vec<IncarnationId> = (0..60).map(IncarnationId).collect();
    let mut holders = Vec::new();
    for millis in 0..100 {
        let holder = refused.elect(at(millis), hosts.iter().copied()).expect("one");
        if !holders.contains(&holder) {
            holders.push(holder);
        }
        refused.record(at(millis), holder, true);
    }
    assert_eq!(holders.len(), 4);
}

/// Keys of callers are believed for 4.9 s: a host whose neighbours know nothing younger asks itself before.
#[rstest]
#[case::young(2600, WatcherRole::Follow)]
#[case::old(3500, WatcherRole::Poll)]
fn unsure_host_asks(#[case] config_age_ms: u64, #[case] expected: WatcherRole) {
    let view = RoleInput {
        view_age: Duration::from_millis(300),
        config_age: Some(Duration::from_millis(config_age_ms)),
        domain_hosts: 30,
        ..calm_input()
    };
    assert_eq!(watcher_role(&view), expected);
}

/// Pattern: a host that reaches the store but no other host. It heard of no newer view, and took that for a sign that there
/// was none.
#[rstest]
#[case::just_heard(900, WatcherRole::Follow)]
#[case::hears_nobody(1000, WatcherRole::Poll)]
fn host_that_hears_nobody_asks_the_store(
    #[case] unheard_ms: u64,
    #[case] expected: WatcherRole,
    #[values(2, 20, 100, 400)] domain_hosts: usize,
) {
    for salt in 0..1000 {
        let view = RoleInput {
            view_age: Duration::from_millis(unheard_ms),
            silent_for: Some(Duration::from_millis(unheard_ms)),
            domain_hosts,
            salt,
            ..calm_input()
        };
        assert_eq!(watcher_role(&view), expected);
    }
}

/// Pattern: the watcher of a failure domain falls silent, and is found dead only seconds later. The few hosts that come next
/// listen for those before them that the store answers, and all of them hear each other.
#[rstest]
#[case::watcher(1, &[], &[2, 3, 4])]
#[case::next_one(2, &[1], &[1, 3, 4])]
#[case::last_of_them(4, &[1, 3], &[1, 2, 3])]
#[case::any_other(5, &[], &[])]
fn next_watchers_listen_for_those_before_them(
    #[case] own: u64,
    #[case] before: &[u64],
    #[case] beside: &[u64],
) {
    let now = at(1000);
    let hosts = || [6, 3, 1, 2, 5, 4].map(IncarnationId).into_iter();
    let mut refused = RefusedHosts::default();
    refused.record(now, IncarnationId(2), true);
    let ids = |hosts: Vec<IncarnationId>| hosts.into_iter().map(|host| host.0).collect::<Vec<_>>();
    assert_eq!(ids(refused.predecessors(now, IncarnationId(own), hosts())), before);
    assert_eq!(ids(RefusedHosts::other_candidates(IncarnationId(own), hosts())), beside);
}

/// Pattern: a host that the store refused once, and that then cannot get from others what they have. In a large failure domain
/// it left the store alone for half a minute.
#[rstest]
#[case::asked_just_now(900, WatcherRole::Follow)]
#[case::asked_a_while_ago(1000, WatcherRole::Poll)]
fn host_behind_asks_again_after_a_refusal(
    #[case] refused_ms: u64,
    #[case] expected: WatcherRole,
    #[values(3, 20, 100, 400)] domain_hosts: usize,
) {
    let view = RoleInput {
        view_age: Duration::from_millis(3000),
        behind_for: Some(Duration::from_millis(1500)),
        silent_for: Some(Duration::from_millis(50)),
        store_refused_for: Some(Duration::from_millis(refused_ms)),
        domain_hosts,
        ..calm_input()
    };
    assert_eq!(watcher_role(&view), expected);
}
