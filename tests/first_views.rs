//! How a host that starts comes by its first view: from a neighbour, or by a listing of its own.

use rstest::rstest;
use std::time::Duration;
use tealcleat::fleet::{RoleInput, WatcherRole, watcher_role};
use tealcleat::keys::mix_hash;

mod role_common;

use role_common::calm_input;

/// A view that a host without one waits for.
fn uninformed(for_ms: u64, handover_idle_ms: Option<u64>) -> RoleInput {
    RoleInput {
        without_view_for: Some(Duration::from_millis(for_ms)),
        handover_idle: handover_idle_ms.map(Duration::from_millis),
        ..calm_input()
    }
}

/// Pattern: a whole fleet starts at once. A tenth of a second later nobody has met anybody, and a wait that grows with the
/// hosts known is that of a small domain: all of 184 hosts listed.
#[rstest]
#[case::seeds_may_still_answer(true, 400, WatcherRole::Follow)]
#[case::no_seed_answers(true, 560, WatcherRole::Watch)]
#[case::others_are_known(false, 400, WatcherRole::Watch)]
fn host_that_has_met_nobody_waits_for_its_seeds(
    #[case] is_alone: bool,
    #[case] for_ms: u64,
    #[case] expected: WatcherRole,
) {
    assert_eq!(watcher_role(&RoleInput { is_alone, ..uninformed(for_ms, None) }), expected);
}

#[rstest]
#[case::pieces_come(100, Some(20), WatcherRole::Follow)]
#[case::pieces_have_stopped(400, Some(150), WatcherRole::Watch)]
#[case::nobody_hands_over(100, None, WatcherRole::Watch)]
#[case::neighbour_serves_too_many(3_000, Some(10), WatcherRole::Watch)]
fn host_without_a_view_leaves_it_to_a_neighbour_that_hands_it_over(
    #[case] for_ms: u64,
    #[case] handover_idle_ms: Option<u64>,
    #[case] expected: WatcherRole,
) {
    assert_eq!(watcher_role(&uninformed(for_ms, handover_idle_ms)), expected);
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
        let duty = watcher_role(&uninformed(millis, Some(millis % 20)));
        assert_eq!(duty, WatcherRole::Follow, "after {millis} of {handed_over_ms} ms");
    }
}

/// Hosts of a domain that begin to list before the first listing has ended, if all start together.
fn listers(domain_hosts: usize, listing: Duration) -> usize {
    let mut begins = Vec::new();
    for host in 0..domain_hosts {
        let duty = |millis: &u64| {
            let view = RoleInput {
                domain_hosts,
                salt: mix_hash(7, host as u64),
                ..uninformed(*millis, None)
            };
            watcher_role(&view) == WatcherRole::Watch
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
