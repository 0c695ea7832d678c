//! Which path a connection to a server takes, and through which hosts it goes if this host's own path has failed.

use rstest::rstest;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;
use tealcleat::keys::{NameKey, TimePoint};
use tealcleat::server_paths::{
    Helper, HelperTable, PathChange, PathPlan, PathTable, TunnelRefusal,
};

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}

fn server(index: u16) -> SocketAddr {
    SocketAddr::from(([10, 4, 0, 1], index))
}

fn helper(domain: &str, index: u16) -> Helper {
    Helper { address: SocketAddr::from(([10, 1, 0, 1], index)), domain: NameKey::of(domain) }
}

fn is_direct(plan: PathPlan) -> bool {
    matches!(plan, PathPlan::DirectFirst { .. })
}

#[test]
fn plan_without_failures_is_direct() {
    let mut paths = PathTable::default();
    assert!(is_direct(paths.plan(at(0), server(1))));
    assert!(!paths.is_cut_off());
}

/// Guards against requests that wait for a path that has failed.
#[test]
fn plan_after_unopened_connection_is_tunnel_until_retry_is_due() {
    let mut paths = PathTable::default();
    assert_eq!(paths.record_unopened(at(0), server(1)), None);
    assert_eq!(paths.plan(at(100), server(1)), PathPlan::TunnelFirst);
    assert!(is_direct(paths.plan(at(100), server(2))));
    assert!(is_direct(paths.plan(at(600), server(1))));
    assert_eq!(paths.plan(at(601), server(1)), PathPlan::TunnelFirst);
    assert!(is_direct(paths.plan(at(1700), server(1))));
}

/// A single silent connection proves nothing of new ones: all open connections may have fallen silent.
#[test]
fn plan_after_silence_on_old_connection_is_direct() {
    let mut paths = PathTable::default();
    paths.record_silence(at(1000), server(1), at(0), at(700));
    assert!(is_direct(paths.plan(at(1001), server(1))));
    paths.record_silence(at(1500), server(1), at(1001), at(1100));
    assert_eq!(paths.plan(at(1501), server(1)), PathPlan::TunnelFirst);
}

#[test]
fn record_unopened_at_two_servers_shows_cut() {
    let mut paths = PathTable::default();
    assert_eq!(paths.record_unopened(at(0), server(1)), None);
    assert_eq!(paths.record_unopened(at(10), server(1)), None);
    assert_eq!(paths.record_unopened(at(20), server(2)), Some(PathChange::CutOff { servers: 2 }));
    assert!(paths.is_cut_off());
    assert_eq!(paths.plan(at(30), server(3)), PathPlan::TunnelFirst);
}

/// Guards against taking a partition between failure domains for a host without servers.
#[test]
fn record_unopened_in_other_domains_shows_no_cut() {
    let mut paths = PathTable::default();
    paths.set_local_servers(HashSet::from([server(3)]));
    paths.record_unopened(at(0), server(1));
    assert_eq!(paths.record_unopened(at(1), server(2)), None);
    assert_eq!(paths.record_unopened(at(2), server(3)), Some(PathChange::CutOff { servers: 3 }));
}

/// Servers that fail while others answer are at fault themselves.
#[test]
fn record_answer_between_failures_refutes_cut() {
    let mut paths = PathTable::default();
    paths.record_unopened(at(0), server(1));
    paths.record_answer(at(10), server(3), at(0));
    assert_eq!(paths.record_unopened(at(20), server(2)), None);
    assert!(!paths.is_cut_off());
}

/// A call that began to wait before another server answered does not show a cut.
#[test]
fn record_silence_since_before_an_answer_shows_no_cut() {
    let mut paths = PathTable::default();
    paths.record_silence(at(300), server(1), at(0), at(50));
    paths.record_answer(at(100), server(3), at(0));
    assert_eq!(paths.record_silence(at(310), server(2), at(0), at(60)), None);
    assert_eq!(
        paths.record_silence(at(500), server(1), at(0), at(200)),
        None,
        "the other server's silence is from before the answer"
    );
    let change = paths.record_silence(at(600), server(2), at(0), at(210));
    assert_eq!(change, Some(PathChange::CutOff { servers: 2 }));
}

#[test]
fn record_answer_after_cut_restores_paths() {
    let mut paths = PathTable::default();
    paths.record_unopened(at(0), server(1));
    paths.record_unopened(at(0), server(2));
    let change = paths.record_answer(at(4000), server(2), at(3990));
    assert_eq!(change, Some(PathChange::Restored { after: Duration::from_secs(4) }));
    assert!(!paths.is_cut_off());
    assert!(is_direct(paths.plan(at(4001), server(2))));
    assert_eq!(paths.plan(at(4001), server(1)), PathPlan::DirectFirst { head_start: RETRY }, "due");
}

const RETRY: Duration = Duration::from_millis(15);

/// Guards against passing over connections that live on while new ones are refused, and against taking their answers for
/// a path that works for new ones.
#[test]
fn record_answer_on_old_connection_keeps_tunnels_for_new_ones() {
    let mut paths = PathTable::default();
    paths.record_unopened(at(1000), server(1));
    assert_eq!(paths.record_answer(at(1010), server(1), at(500)), None);
    assert_eq!(paths.plan(at(1020), server(1)), PathPlan::TunnelFirst);
    assert!(paths.is_direct_usable(at(900)));
    paths.record_answer(at(1600), server(1), at(1590));
    assert!(is_direct(paths.plan(at(1610), server(1))));
}

/// Connections from before a cut are dead, also once the path works again.
#[test]
fn is_direct_usable_excludes_connections_from_before_a_cut() {
    let mut paths = PathTable::default();
    paths.record_unopened(at(1000), server(1));
    paths.record_unopened(at(1100), server(2));
    assert!(!paths.is_direct_usable(at(999)));
    assert!(paths.is_direct_usable(at(1200)));
}

/// Guards against taking two crashed servers for a lost path.
#[test]
fn record_server_fault_refutes_cut() {
    let mut paths = PathTable::default();
    paths.record_unopened(at(0), server(1));
    paths.record_server_fault(at(1), server(1));
    assert_eq!(paths.record_unopened(at(2), server(2)), None);
    // The own path's try of the first server ends later than the other host's.
    assert_eq!(paths.record_unopened(at(3), server(1)), None);
    paths.record_unopened(at(4), server(3));
    assert!(paths.is_cut_off());
    paths.record_server_fault(at(5), server(2));
    assert!(!paths.is_cut_off());
    assert!(is_direct(paths.plan(at(6), server(2))));
}

/// Guards against one request lost at each server whose idle connection fell silent with all others.
#[test]
fn record_detour_distrusts_idle_connections_from_before() {
    let mut paths = PathTable::default();
    paths.record_silence(at(1000), server(1), at(0), at(800));
    assert!(paths.is_direct_usable(at(500)), "the server may be silent itself");
    paths.record_unopened(at(1100), server(1));
    paths.record_detour(at(1110), server(1));
    assert!(!paths.is_direct_usable(at(500)));
    assert!(paths.is_direct_usable(at(900)));
    // While connections live on, further detours do not make them unusable.
    paths.record_answer(at(1500), server(3), at(0));
    paths.record_unopened(at(2000), server(2));
    paths.record_detour(at(2010), server(2));
    assert!(paths.is_direct_usable(at(900)));
}

/// A tunnel that was opened for another reason says nothing of the own path.
/// Guards against two hosts without servers that take each other's failures for evidence against the servers.
#[test]
fn is_proven_needs_a_recent_answer() {
    let mut paths = PathTable::default();
    assert!(!paths.is_proven(at(0), server(2)));
    paths.record_answer(at(1000), server(1), at(0));
    assert!(paths.is_proven(at(1400), server(2)));
    assert!(!paths.is_proven(at(1500), server(2)));
}

/// Guards against the word of a host whose open connections live on while its new ones are refused.
#[test]
fn is_proven_needs_new_connections_to_work() {
    let mut paths = PathTable::default();
    paths.record_unopened(at(1000), server(1));
    paths.record_answer(at(1100), server(2), at(0));
    assert!(!paths.is_proven(at(1100), server(3)));
    assert!(paths.is_proven(at(1100), server(1)), "only the one that is asked about fails");
    paths.record_answer(at(1300), server(2), at(1200));
    assert!(paths.is_proven(at(1300), server(3)), "a new connection was opened since");
}

#[test]
fn record_detour_without_failure_distrusts_nothing() {
    let mut paths = PathTable::default();
    paths.record_detour(at(1000), server(1));
    assert!(paths.is_direct_usable(at(0)));
}

#[test]
fn expire_ends_cut_without_requests() {
    let mut paths = PathTable::default();
    paths.record_unopened(at(0), server(1));
    paths.record_unopened(at(0), server(2));
    paths.expire(at(7000));
    assert!(paths.is_cut_off());
    paths.expire(at(8001));
    assert!(!paths.is_cut_off());
}

#[test]
fn select_prefers_hosts_that_helped_and_the_own_domain() {
    let mut helpers = HelperTable::default();
    let candidates = [helper("b", 1), helper("a", 2), helper("a", 3), helper("b", 4)];
    helpers.record_opened(at(0), candidates[0].address);
    helpers.record_opened(at(0), candidates[2].address);
    let selected = helpers.select(at(10), &candidates, NameKey::of("a"), 1);
    assert_eq!(selected[..2], [candidates[2].address, candidates[0].address]);
}

/// Guards against asking only hosts of a failure domain that has lost all of its paths.
#[test]
fn select_of_unknown_hosts_takes_domains_in_turns() {
    let helpers = HelperTable::default();
    let candidates: Vec<Helper> =
        (0..30).map(|index| helper(["a", "b", "c"][usize::from(index) % 3], index)).collect();
    for draw in 0..50 {
        let selected = helpers.select(at(0), &candidates, NameKey::of("a"), draw);
        let domains: Vec<u16> = selected.iter().map(|address| address.port() % 3).collect();
        assert_eq!(domains[0], 0);
        let first: HashSet<u16> = domains[..3].iter().copied().collect();
        assert_eq!(first.len(), 3);
    }
}

/// The hosts that help share the load of many hosts that need it.
#[test]
fn select_spreads_over_helpers() {
    let helpers = HelperTable::default();
    let candidates: Vec<Helper> = (0..12).map(|index| helper("a", index)).collect();
    let first: HashSet<SocketAddr> = (0..200)
        .map(|draw| helpers.select(at(0), &candidates, NameKey::of("a"), draw)[0])
        .collect();
    assert_eq!(first.len(), candidates.len());
}

#[rstest]
#[case::cut_off(TunnelRefusal::CutOff, true)]
#[case::unproven(TunnelRefusal::Unproven, true)]
#[case::busy(TunnelRefusal::Busy, true)]
#[case::stopping(TunnelRefusal::Stopping, true)]
#[case::server_refuses(TunnelRefusal::ConnectionRefused, false)]
#[case::server_silent(TunnelRefusal::Unanswered, false)]
#[case::server_unknown(TunnelRefusal::UnknownServer, false)]
fn record_refused_pauses_hosts_at_fault(#[case] refusal: TunnelRefusal, #[case] pauses: bool) {
    let mut helpers = HelperTable::default();
    let candidates = [helper("a", 1)];
    helpers.record_refused(at(0), candidates[0].address, refusal);
    let selected = helpers.select(at(500), &candidates, NameKey::of("a"), 1);
    assert_eq!(selected.is_empty(), pauses);
    assert_eq!(helpers.select(at(1001), &candidates, NameKey::of("a"), 1).len(), 1);
    assert_eq!(TunnelRefusal::from_status(refusal.status()), refusal);
}

/// Of eight hosts that lost their paths and one that did not, the latter is found within two connections.
#[test]
fn select_finds_the_only_host_with_paths() {
    let mut helpers = HelperTable::default();
    let candidates: Vec<Helper> =
        (0..8).map(|index| helper(["a", "b", "c"][usize::from(index) % 3], index)).collect();
    let working = candidates[5].address;
    let found = (0..2).any(|draw| {
        helpers.select(at(draw), &candidates, NameKey::of("a"), draw).into_iter().any(|address| {
            if address != working {
                helpers.record_refused(at(draw), address, TunnelRefusal::CutOff);
            }
            address == working
        })
    });
    assert!(found);
}
