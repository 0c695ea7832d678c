//! Which hosts call the store, how often they do so in an outage, and which host is elected for work that needs it.

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
#[case::waits_for_neighbours(Some(19), true, 0, None, WatcherRole::Follow)]
#[case::no_neighbour_had_a_view(Some(500), false, 0, None, WatcherRole::Watch)]
#[case::fresh_view(None, false, 1500, None, WatcherRole::Follow)]
#[case::watcher_cut_off(None, false, 4400, None, WatcherRole::Poll)]
#[case::refused_just_now(None, false, 500, Some(1900), WatcherRole::Follow)]
#[case::refused_by_all(None, false, 9000, Some(1900), WatcherRole::Follow)]
#[case::refused_a_while_ago(None, false, 500, Some(2000), WatcherRole::Poll)]
#[case::refused_but_elected(None, true, 500, Some(10), WatcherRole::Watch)]
fn watcher_role_follows_input(
    #[case] uninformed_for_ms: Option<u64>,
    #[case] elected: bool,
    #[case] view_age_ms: u64,
    #[case] refused_for_ms: Option<u64>,
    #[case] expected: WatcherRole,
) {
    let input = RoleInput {
        without_view_for: uninformed_for_ms.map(Duration::from_millis),
        elected,
        view_age: Duration::from_millis(view_age_ms),
        store_refused_for: refused_for_ms.map(Duration::from_millis),
        ..calm_input()
    };
    assert_eq!(watcher_role(&input), expected);
}

/// Guards against calls that grow with the domain in a store outage: if each host called the store every
/// second, 295 hosts would make about 4,700 calls in 8 s.
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
            let input = RoleInput {
                view_age: now,
                store_refused_for: refused_at.map(|at| now - at),
                domain_hosts,
                salt: host as u64 * 7919,
                ..calm_input()
            };
            if watcher_role(&input) == WatcherRole::Poll {
                calls += 1;
                refused_at = Some(now);
            }
        }
    }
    let calls_per_s = f64::from(calls) / outage.as_secs_f64();
    assert!((1.0..=5.0).contains(&calls_per_s), "{calls_per_s} calls a second");
}

/// Guards against a host that knows of a newer view, cannot get it from other hosts, and takes the store's recent answers
/// to them for a sign that its own view is fresh.
#[rstest]
#[case::behind_for_a_moment(599, WatcherRole::Follow)]
#[case::handover_overdue(1001, WatcherRole::Poll)]
fn host_behind_polls_the_store(#[case] behind_ms: u64, #[case] expected: WatcherRole) {
    for salt in 0..1000 {
        let input = RoleInput {
            view_age: Duration::from_millis(100),
            behind_for: Some(Duration::from_millis(behind_ms)),
            domain_hosts: 100,
            salt,
            ..calm_input()
        };
        assert_eq!(watcher_role(&input), expected);
    }
}

/// Guards against slow updates when the store refuses all hosts that can be elected and answers others. If those only
/// polled, they would call the store once in 2.3 s or more.
#[rstest]
#[case::watcher_refused(Some(200), WatcherRole::Watch)]
#[case::no_recent_answer(Some(1500), WatcherRole::Follow)]
#[case::watcher_answered(None, WatcherRole::Follow)]
fn answered_host_replaces_a_refused_watcher(
    #[case] answered_ms: Option<u64>,
    #[case] expected: WatcherRole,
) {
    let input = RoleInput {
        store_answered_for: answered_ms.map(Duration::from_millis),
        view_age: Duration::from_millis(100),
        domain_hosts: 60,
        ..calm_input()
    };
    assert_eq!(watcher_role(&input), expected);
}

/// Guards against watchers that stay elected while the store refuses them: when it refused the watchers of
/// all three domains, the other hosts called it only every 2.5 s.
#[test]
fn refused_hosts_not_elected_while_others_are_answered() {
    let mut refused = RefusedHosts::default();
    let hosts = [IncarnationId(1), IncarnationId(2), IncarnationId(3)];
    let elected = |refused: &RefusedHosts, millis| {
        refused.elect(at(millis), hosts.iter().copied()).map(|host| host.0)
    };
    assert_eq!(elected(&refused, 0), Some(1));
    assert!(refused.record(at(0), hosts[0], true));
    assert!(!refused.record(at(500), hosts[0], true), "no change");
    assert_eq!(elected(&refused, 600), Some(2));
    refused.record(at(600), hosts[1], true);
    assert_eq!(elected(&refused, 600), Some(3));
    refused.record(at(600), hosts[2], true);
    assert_eq!(elected(&refused, 700), Some(1), "some host has to call the store");
    assert!(refused.record(at(800), hosts[0], false));
    refused.record(at(900), hosts[0], true);
    assert!(refused.record(at(1000), hosts[2], false));
    assert_eq!(elected(&refused, 1100), Some(3));
    assert_eq!(elected(&refused, 6700), Some(2), "the second host did not renew its report");
    assert_eq!(elected(&refused, 7100), Some(1), "nor did the first one");
}

/// Guards against a role that moves whenever a host starts or stops: with an election by a hash of ids,
/// each start among 300 hosts could move it.
#[test]
fn role_stays_with_the_oldest_host() {
    let refused = RefusedHosts::default();
    let mut hosts: Vec<IncarnationId> = (10..40).map(IncarnationId).collect();
    for newcomer in 40..100 {
        assert_eq!(refused.elect(at(0), hosts.iter().copied()), Some(IncarnationId(10)));
        hosts.push(IncarnationId(newcomer));
        hosts.remove(1);
    }
}

/// Guards against an election that tries all hosts while the store refuses every one of them: each new
/// holder costs a call and a message to all hosts, so only a few are tried.
#[test]
fn role_does_not_pass_through_all_hosts_in_an_outage() {
    let mut refused = RefusedHosts::default();
    let hosts: Vec<IncarnationId> = (0..60).map(IncarnationId).collect();
    let mut holders = Vec::new();
    for millis in 0..100 {
        let holder = refused.elect(at(millis), hosts.iter().copied()).expect("a holder");
        if !holders.contains(&holder) {
            holders.push(holder);
        }
        refused.record(at(millis), holder, true);
    }
    assert_eq!(holders.len(), 4);
}

/// Caller keys are accepted for 4.9 s: a host polls before that if its neighbours have no newer configuration.
#[rstest]
#[case::young(2600, WatcherRole::Follow)]
#[case::old(3500, WatcherRole::Poll)]
fn host_with_old_configuration_polls(#[case] config_age_ms: u64, #[case] expected: WatcherRole) {
    let input = RoleInput {
        view_age: Duration::from_millis(300),
        config_age: Some(Duration::from_millis(config_age_ms)),
        domain_hosts: 30,
        ..calm_input()
    };
    assert_eq!(watcher_role(&input), expected);
}

/// Guards against a host that reaches the store but no other host, and takes the silence for a sign that there is no newer
/// view.
#[rstest]
#[case::received_recently(900, WatcherRole::Follow)]
#[case::receives_nothing(1000, WatcherRole::Poll)]
fn host_that_receives_nothing_polls_the_store(
    #[case] silent_ms: u64,
    #[case] expected: WatcherRole,
    #[values(2, 20, 100, 400)] domain_hosts: usize,
) {
    for salt in 0..1000 {
        let input = RoleInput {
            view_age: Duration::from_millis(silent_ms),
            silent_for: Some(Duration::from_millis(silent_ms)),
            domain_hosts,
            salt,
            ..calm_input()
        };
        assert_eq!(watcher_role(&input), expected);
    }
}

/// Guards against lost updates when the watcher of a failure domain falls silent and is declared dead only seconds later.
/// The next candidates check the silence of the candidates before them that the store answers, and all candidates send to
/// each other.
#[rstest]
#[case::watcher(1, &[], &[2, 3, 4])]
#[case::next_candidate(2, &[1], &[1, 3, 4])]
#[case::last_candidate(4, &[1, 3], &[1, 2, 3])]
#[case::no_candidate(5, &[], &[])]
fn candidates_know_their_predecessors(
    #[case] own: u64,
    #[case] predecessors: &[u64],
    #[case] other_candidates: &[u64],
) {
    let now = at(1000);
    let hosts = || [6, 3, 1, 2, 5, 4].map(IncarnationId).into_iter();
    let mut refused = RefusedHosts::default();
    refused.record(now, IncarnationId(2), true);
    let ids = |hosts: Vec<IncarnationId>| hosts.into_iter().map(|host| host.0).collect::<Vec<_>>();
    assert_eq!(ids(refused.predecessors(now, IncarnationId(own), hosts())), predecessors);
    assert_eq!(ids(RefusedHosts::other_candidates(IncarnationId(own), hosts())), other_candidates);
}

/// Guards against a host that is behind and, after one refusal by the store, does not call it again for a long time: in a
/// large failure domain that was half a minute.
#[rstest]
#[case::called_recently(900, WatcherRole::Follow)]
#[case::called_a_while_ago(1000, WatcherRole::Poll)]
fn host_behind_calls_again_after_a_refusal(
    #[case] refused_ms: u64,
    #[case] expected: WatcherRole,
    #[values(3, 20, 100, 400)] domain_hosts: usize,
) {
    let input = RoleInput {
        view_age: Duration::from_millis(3000),
        behind_for: Some(Duration::from_millis(1500)),
        silent_for: Some(Duration::from_millis(50)),
        store_refused_for: Some(Duration::from_millis(refused_ms)),
        domain_hosts,
        ..calm_input()
    };
    assert_eq!(watcher_role(&input), expected);
}
