//! Who asks the store, how often in an outage, and who holds an office that needs it.

use rstest::rstest;
use std::time::Duration;
use tealcleat::fleet::{DutyView, RefusedHosts, WatchDuty, watch_duty};
use tealcleat::keys::{IncarnationId, TimePoint, mix_hash};

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}

#[rstest]
#[case::elected(None, true, 0, None, WatchDuty::Watch)]
#[case::neighbours_asked_first(Some(19), true, 0, None, WatchDuty::Hear)]
#[case::no_neighbour_had_a_view(Some(500), false, 0, None, WatchDuty::Watch)]
#[case::calm(None, false, 1500, None, WatchDuty::Hear)]
#[case::watcher_cut_off(None, false, 4400, None, WatchDuty::Doubt)]
#[case::refused_just_now(None, false, 500, Some(1900), WatchDuty::Hear)]
#[case::refused_by_all(None, false, 9000, Some(1900), WatchDuty::Hear)]
#[case::refused_a_while_ago(None, false, 500, Some(2000), WatchDuty::Doubt)]
#[case::refused_but_nobody_else(None, true, 500, Some(10), WatchDuty::Watch)]
fn watch_duty_follows(
    #[case] uninformed_for_ms: Option<u64>,
    #[case] elected: bool,
    #[case] view_age_ms: u64,
    #[case] refused_for_ms: Option<u64>,
    #[case] expected: WatchDuty,
) {
    let view = DutyView {
        uninformed_for: uninformed_for_ms.map(Duration::from_millis),
        is_alone: false,
        handover_idle: None,
        elected,
        answered_for: None,
        view_age: Duration::from_millis(view_age_ms),
        behind_for: None,
        unheard_for: None,
        config_age: None,
        refused_for: refused_for_ms.map(Duration::from_millis),
        domain_hosts: 3,
        salt: 1234,
    };
    assert_eq!(watch_duty(&view), expected);
}

/// A view that a host without one waits for.
fn uninformed(for_ms: u64, handover_idle_ms: Option<u64>) -> DutyView {
    DutyView {
        uninformed_for: Some(Duration::from_millis(for_ms)),
        is_alone: false,
        handover_idle: handover_idle_ms.map(Duration::from_millis),
        elected: false,
        answered_for: None,
        view_age: Duration::ZERO,
        behind_for: None,
        unheard_for: None,
        config_age: None,
        refused_for: None,
        domain_hosts: 3,
        salt: 1234,
    }
}

/// Pattern: a whole fleet starts at once. A tenth of a second later nobody has met anybody, and a wait that grows with the
/// hosts known is that of a small domain: all of 184 hosts listed.
#[rstest]
#[case::seeds_may_still_answer(true, 400, WatchDuty::Hear)]
#[case::no_seed_answers(true, 560, WatchDuty::Watch)]
#[case::others_are_known(false, 400, WatchDuty::Watch)]
fn host_that_has_met_nobody_waits_for_its_seeds(
    #[case] is_alone: bool,
    #[case] for_ms: u64,
    #[case] expected: WatchDuty,
) {
    assert_eq!(watch_duty(&DutyView { is_alone, ..uninformed(for_ms, None) }), expected);
}

#[rstest]
#[case::pieces_come(100, Some(20), WatchDuty::Hear)]
#[case::pieces_have_stopped(400, Some(150), WatchDuty::Watch)]
#[case::nobody_hands_over(100, None, WatchDuty::Watch)]
#[case::neighbour_serves_too_many(3_000, Some(10), WatchDuty::Watch)]
fn host_without_a_view_leaves_it_to_a_neighbour_that_hands_it_over(
    #[case] for_ms: u64,
    #[case] handover_idle_ms: Option<u64>,
    #[case] expected: WatchDuty,
) {
    assert_eq!(watch_duty(&uninformed(for_ms, handover_idle_ms)), expected);
}

/// Pattern: hosts restart while all others go on. None lists the servers, however long it takes to hand a view over the
/// link of a small host: the servers of so many hosts, at 100 bytes each and 20 Mbit/s.
#[rstest]
#[case::three_thousand_servers(3_000)]
#[case::ten_thousand_servers(10_000)]
#[case::twice_as_many(20_000)]
fn restarted_host_does_not_list_while_it_is_served(#[case] servers: u64) {
    let bytes_per_ms = 20_000_000 / 8 / 1000;
    let handed_over_ms = servers * 100 / bytes_per_ms;
    for millis in (0..handed_over_ms).step_by(10) {
        let duty = watch_duty(&uninformed(millis, Some(millis % 20)));
        assert_eq!(duty, WatchDuty::Hear, "after {millis} of {handed_over_ms} ms");
    }
}

/// Hosts of a domain that begin to list before the first listing has ended, if all start together.
fn listers(domain_hosts: usize, listing: Duration) -> usize {
    let mut begins = Vec::new();
    for host in 0..domain_hosts {
        let duty = |millis: &u64| {
            let view = DutyView {
                domain_hosts,
                salt: mix_hash(7, host as u64),
                ..uninformed(*millis, None)
            };
            watch_duty(&view) == WatchDuty::Watch
        };
        begins.push(Duration::from_millis((0..60_000).step_by(5).find(duty).expect("it lists")));
    }
    let first = begins.iter().min().copied().unwrap_or_default() + listing;
    begins.iter().filter(|begin| **begin <= first).count()
}

/// Pattern: all hosts of a failure domain lose power and start together. Each listed the servers, in as many pages as there
/// are servers: four times the calls at twice the size.
#[rstest]
#[case::quick_listing(30)]
#[case::listing_over_a_small_link(1_000)]
fn hosts_that_list_at_a_start_do_not_grow_with_the_domain(#[case] listing_ms: u64) {
    let listing = Duration::from_millis(listing_ms);
    let most = 2 * (listing_ms as usize / 60 * 8 + 8);
    for domain_hosts in [8, 59, 200, 400, 800] {
        let listers = listers(domain_hosts, listing);
        assert!((1..=most).contains(&listers), "{listers} of {domain_hosts}, more than {most}");
    }
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
            let view = DutyView {
                uninformed_for: None,
                is_alone: false,
                handover_idle: None,
                elected: false,
                answered_for: None,
                view_age: now,
                behind_for: None,
                unheard_for: None,
                config_age: None,
                refused_for: refused_at.map(|at| now - at),
                domain_hosts,
                salt: host as u64 * 7919,
            };
            if watch_duty(&view) == WatchDuty::Doubt {
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
#[case::just_told(599, WatchDuty::Hear)]
#[case::others_had_their_time(1001, WatchDuty::Doubt)]
fn host_behind_asks_the_store_itself(#[case] behind_ms: u64, #[case] expected: WatchDuty) {
    for salt in 0..1000 {
        let view = DutyView {
            uninformed_for: None,
            is_alone: false,
            handover_idle: None,
            elected: false,
            answered_for: None,
            view_age: Duration::from_millis(100),
            behind_for: Some(Duration::from_millis(behind_ms)),
            unheard_for: None,
            config_age: None,
            refused_for: None,
            domain_hosts: 100,
            salt,
        };
        assert_eq!(watch_duty(&view), expected);
    }
}

/// Pattern: the store turns all hosts away that could be elected, and answers others. These asked when in doubt only, once
/// in 2.3 s or more.
#[rstest]
#[case::watcher_refused(Some(200), WatchDuty::Watch)]
#[case::not_answered_lately(Some(1500), WatchDuty::Hear)]
#[case::watcher_answered(None, WatchDuty::Hear)]
fn answered_host_stands_in_for_a_refused_watcher(
    #[case] answered_ms: Option<u64>,
    #[case] expected: WatchDuty,
) {
    let view = DutyView {
        uninformed_for: None,
        is_alone: false,
        handover_idle: None,
        elected: false,
        answered_for: answered_ms.map(Duration::from_millis),
        view_age: Duration::from_millis(100),
        behind_for: None,
        unheard_for: None,
        config_age: None,
        refused_for: None,
        domain_hosts: 60,
        salt: 1234,
    };
    assert_eq!(watch_duty(&view), expected);
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
    assert!(refused.note(at(0), hosts[0], true));
    assert!(!refused.note(at(500), hosts[0], true), "nothing new");
    assert_eq!(elected(&refused, 600), Some(2));
    refused.note(at(600), hosts[1], true);
    assert_eq!(elected(&refused, 600), Some(3));
    refused.note(at(600), hosts[2], true);
    assert_eq!(elected(&refused, 700), Some(1), "somebody has to ask");
    assert!(refused.note(at(800), hosts[0], false));
    refused.note(at(900), hosts[0], true);
    assert!(refused.note(at(1000), hosts[2], false));
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
        refused.note(at(millis), holder, true);
    }
    assert_eq!(holders.len(), 4);
}

/// Keys of callers are believed for 4.9 s: a host whose neighbours know nothing younger asks itself before.
#[rstest]
#[case::young(2600, WatchDuty::Hear)]
#[case::old(3500, WatchDuty::Doubt)]
fn unsure_host_asks(#[case] config_age_ms: u64, #[case] expected: WatchDuty) {
    let view = DutyView {
        uninformed_for: None,
        is_alone: false,
        handover_idle: None,
        elected: false,
        answered_for: None,
        view_age: Duration::from_millis(300),
        behind_for: None,
        unheard_for: None,
        config_age: Some(Duration::from_millis(config_age_ms)),
        refused_for: None,
        domain_hosts: 30,
        salt: 1234,
    };
    assert_eq!(watch_duty(&view), expected);
}

/// Pattern: a host that reaches the store but no other host. It heard of no newer view, and took that for a sign that there
/// was none.
#[rstest]
#[case::just_heard(900, WatchDuty::Hear)]
#[case::hears_nobody(1000, WatchDuty::Doubt)]
fn host_that_hears_nobody_asks_the_store(
    #[case] unheard_ms: u64,
    #[case] expected: WatchDuty,
    #[values(2, 20, 100, 400)] domain_hosts: usize,
) {
    for salt in 0..1000 {
        let view = DutyView {
            uninformed_for: None,
            is_alone: false,
            handover_idle: None,
            elected: false,
            answered_for: None,
            view_age: Duration::from_millis(unheard_ms),
            behind_for: None,
            unheard_for: Some(Duration::from_millis(unheard_ms)),
            config_age: None,
            refused_for: None,
            domain_hosts,
            salt,
        };
        assert_eq!(watch_duty(&view), expected);
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
    refused.note(now, IncarnationId(2), true);
    let ids = |hosts: Vec<IncarnationId>| hosts.into_iter().map(|host| host.0).collect::<Vec<_>>();
    assert_eq!(ids(refused.before(now, IncarnationId(own), hosts())), before);
    assert_eq!(ids(RefusedHosts::beside(IncarnationId(own), hosts())), beside);
}

/// Pattern: a host that the store refused once, and that then cannot get from others what they have. In a large failure domain
/// it left the store alone for half a minute.
#[rstest]
#[case::asked_just_now(900, WatchDuty::Hear)]
#[case::asked_a_while_ago(1000, WatchDuty::Doubt)]
fn host_behind_asks_again_after_a_refusal(
    #[case] refused_ms: u64,
    #[case] expected: WatchDuty,
    #[values(3, 20, 100, 400)] domain_hosts: usize,
) {
    let view = DutyView {
        uninformed_for: None,
        is_alone: false,
        handover_idle: None,
        elected: false,
        answered_for: None,
        view_age: Duration::from_millis(3000),
        behind_for: Some(Duration::from_millis(1500)),
        unheard_for: Some(Duration::from_millis(50)),
        config_age: None,
        refused_for: Some(Duration::from_millis(refused_ms)),
        domain_hosts,
        salt: 1234,
    };
    assert_eq!(watch_duty(&view), expected);
}
