//! How a starting host gets its first view: from a neighbour, or by its own listing.

use rstest::rstest;
use std::time::Duration;
use tealcleat::fleet::{RoleInput, WatcherRole, watcher_role};
use tealcleat::keys::mix_hash;

mod role_common;

use role_common::calm_input;

/// The input of a host that has waited for its first view for `for_ms`.
fn input_without_view(for_ms: u64, handover_idle_ms: Option<u64>) -> RoleInput {
    RoleInput {
        without_view_for: Some(Duration::from_millis(for_ms)),
        handover_idle: handover_idle_ms.map(Duration::from_millis),
        ..calm_input()
    }
}

/// Guards against all hosts listing the servers when a whole fleet starts at once. After a tenth of a second no host has
/// met another one, so a wait that grows with the number of known hosts is that of a small domain: all of 184 hosts listed.
#[rstest]
#[case::seeds_may_still_answer(true, 400, WatcherRole::Follow)]
#[case::no_seed_answers(true, 560, WatcherRole::Watch)]
#[case::others_are_known(false, 400, WatcherRole::Watch)]
fn lone_host_waits_for_its_seeds(
    #[case] is_alone: bool,
    #[case] for_ms: u64,
    #[case] expected: WatcherRole,
) {
    assert_eq!(watcher_role(&RoleInput { is_alone, ..input_without_view(for_ms, None) }), expected);
}

#[rstest]
#[case::pieces_arrive(100, Some(20), WatcherRole::Follow)]
#[case::pieces_have_stopped(400, Some(150), WatcherRole::Watch)]
#[case::no_handover(100, None, WatcherRole::Watch)]
#[case::neighbour_takes_too_long(3_000, Some(10), WatcherRole::Watch)]
fn host_without_view_waits_for_a_neighbours_handover(
    #[case] for_ms: u64,
    #[case] handover_idle_ms: Option<u64>,
    #[case] expected: WatcherRole,
) {
    assert_eq!(watcher_role(&input_without_view(for_ms, handover_idle_ms)), expected);
}

/// Guards against a listing by a host that restarts while the others keep running. It waits for a view from a neighbour,
/// however long the transfer over a small host's link takes: 100 bytes for each server at 20 Mbit/s.
#[rstest]
#[case::three_thousand_servers(3_000)]
#[case::ten_thousand_servers(10_000)]
#[case::twice_as_many(20_000)]
fn restarted_host_does_not_list_during_a_handover(#[case] servers: u64) {
    let bytes_per_ms = 20_000_000 / 8 / 1000;
    let transfer_ms = servers * 100 / bytes_per_ms;
    for millis in (0..transfer_ms).step_by(10) {
        let role = watcher_role(&input_without_view(millis, Some(millis % 20)));
        assert_eq!(role, WatcherRole::Follow, "after {millis} of {transfer_ms} ms");
    }
}

/// Number of hosts of a domain that begin to list before the first listing has ended, if all hosts start together.
fn listers(domain_hosts: usize, listing: Duration) -> usize {
    let mut list_starts = Vec::new();
    for host in 0..domain_hosts {
        let lists = |millis: &u64| {
            let input = RoleInput {
                domain_hosts,
                salt: mix_hash(7, host as u64),
                ..input_without_view(*millis, None)
            };
            watcher_role(&input) == WatcherRole::Watch
        };
        list_starts.push(Duration::from_millis(
            (0..60_000).step_by(5).find(lists).expect("the host lists"),
        ));
    }
    let first_end = list_starts.iter().min().copied().unwrap_or_default() + listing;
    list_starts.iter().filter(|start| **start <= first_end).count()
}

/// Guards against a listing by each host when a failure domain restarts after a power failure. The pages of a listing grow
/// with the number of servers, so twice the size would cause four times the calls.
#[rstest]
#[case::quick_listing(30)]
#[case::listing_over_a_small_link(1_000)]
fn number_of_listing_hosts_does_not_grow_with_the_domain(#[case] listing_ms: u64) {
    let listing = Duration::from_millis(listing_ms);
    let limit = 2 * (listing_ms as usize / 60 * 8 + 8);
    for domain_hosts in [8, 59, 200, 400, 800] {
        let listers = listers(domain_hosts, listing);
        assert!((1..=limit).contains(&listers), "{listers} of {domain_hosts}, more than {limit}");
    }
}
