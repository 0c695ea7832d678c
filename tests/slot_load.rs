//! Places at small plain services under load: hosts that exchange messages with loss, in front of a few servers.
//!
//! Guards against servers that reject requests while others have room, because hosts that know each other's load 1.5 s
//! late all choose the same server at a time.

use rstest::rstest;
use std::time::Duration;

mod slot_common;

use slot_common::{SlotFleet, SlotPlan};

const RUN_TIME: Duration = Duration::from_secs(8);

/// The plain service of 71 hosts.
fn small_service(load: f64, has_slots: bool) -> SlotPlan {
    SlotPlan {
        hosts: 71,
        servers: 3,
        service_time: Duration::from_millis(30),
        objective: Duration::from_millis(150),
        deadline: Duration::from_millis(1000),
        load,
        loss: 0.01,
        silent_owners: false,
        has_slots,
    }
}

/// The plain service of 60 hosts.
fn slower_service(load: f64, has_slots: bool) -> SlotPlan {
    SlotPlan {
        hosts: 60,
        servers: 6,
        service_time: Duration::from_millis(60),
        objective: Duration::from_millis(300),
        deadline: Duration::from_millis(3000),
        ..small_service(load, has_slots)
    }
}

/// A request without a place costs no message while the load is moderate, and no server rejects one.
#[rstest]
#[case(small_service(0.35, true))]
#[case(slower_service(0.35, true))]
fn moderate_load_needs_no_messages(#[case] plan: SlotPlan) {
    let tally = SlotFleet::run(plan, RUN_TIME);
    assert_eq!((tally.rejected, tally.refused, tally.messages), (0, 0, 0), "{tally:?}");
}

/// Guards against rejections by full servers, against refusals while places are free, and against repeatable requests
/// that are served before those that may run only once.
#[rstest]
#[case(small_service, 0.7, 0.99)]
#[case(small_service, 0.95, 0.95)]
#[case(small_service, 1.5, 0.63)]
#[case(slower_service, 0.7, 0.99)]
#[case(slower_service, 0.95, 0.95)]
#[case(slower_service, 1.5, 0.63)]
fn heavy_load_served_in_time(
    #[case] service: fn(f64, bool) -> SlotPlan,
    #[case] load: f64,
    #[case] least_in_time: f64,
) {
    let before = SlotFleet::run(service(load, false), RUN_TIME);
    let tally = SlotFleet::run(service(load, true), RUN_TIME);
    println!("load {load}\nwithout {before:?}\nwith    {tally:?}");
    assert!(tally.rejected * 20 < tally.served, "{tally:?}");
    assert!(tally.rejected * 10 < before.rejected, "{before:?} {tally:?}");
    let part = f64::from(tally.in_time) / f64::from(tally.requests);
    assert!(part > least_in_time, "{part}");
    assert_eq!(tally.refused_beside_free, 0, "{tally:?}");
    // Requests that may run once only are served first.
    let repeatable = tally.requests - tally.once;
    let once_part = f64::from(tally.once_served) / f64::from(tally.once);
    let part = f64::from(tally.served - tally.once_served) / f64::from(repeatable);
    assert!(once_part >= part - 0.005, "{once_part} {part}");
}

/// Messages grow with the requests, not with the hosts, but for the announcements to all hosts.
#[rstest]
#[case(300)]
#[case(1000)]
fn more_hosts_served_alike(#[case] hosts: usize) {
    let plan = SlotPlan { hosts, ..small_service(0.95, true) };
    let tally = SlotFleet::run(plan, Duration::from_secs(4));
    println!("{hosts} hosts {tally:?}");
    assert!(tally.rejected * 20 < tally.served, "{tally:?}");
    assert!(tally.in_time * 100 > tally.requests * 95, "{tally:?}");
}

/// If no owner replies, requests are sent without places: nothing is worse than a little delay.
#[rstest]
#[case(0.7, 0.9)]
#[case(1.5, 0.8)]
fn silent_owners_cost_little(#[case] load: f64, #[case] least_part: f64) {
    let before = SlotFleet::run(small_service(load, false), RUN_TIME);
    let plan = SlotPlan { silent_owners: true, ..small_service(load, true) };
    let tally = SlotFleet::run(plan, RUN_TIME);
    println!("load {load}\nwithout {before:?}\nsilent  {tally:?}");
    let share = |part: u32, all: u32| f64::from(part) / f64::from(all);
    let served = share(tally.served, tally.requests);
    assert!(served > share(before.served, before.requests) - 0.02, "{tally:?}");
    let in_time = share(tally.in_time, tally.requests);
    assert!(in_time > share(before.in_time, before.requests) * least_part, "{tally:?}");
}

/// A lossy link delays few requests: repeated requests and releases make up for what is lost.
#[test]
fn lost_messages_make_up() {
    let plan = SlotPlan { loss: 0.1, ..small_service(0.95, true) };
    let tally = SlotFleet::run(plan, RUN_TIME);
    println!("{tally:?}");
    assert!(tally.rejected * 20 < tally.served, "{tally:?}");
    assert!(tally.in_time * 10 > tally.requests * 9, "{tally:?}");
}
