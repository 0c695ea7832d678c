//! What hosts tell each other of crashes: reports add up, are passed on, and clear what was served.

use tealcleat::quarantine::{CRASH_RETENTION, CrashReport, CrashTracker};

mod tracker_common;

use tracker_common::{CRASHER, at, server, tracker_against};

#[test]
fn crashes_seen_by_several_hosts_add_up() {
    let mut trackers: Vec<CrashTracker> = (0..3).map(|_| CrashTracker::default()).collect();
    for (tracker, number) in trackers.iter_mut().zip(0..) {
        tracker.record_crash(at(number), server(number), CRASHER);
    }
    let reports: Vec<CrashReport> =
        trackers.iter_mut().map(|tracker| tracker.unsent(at(10))).collect();
    for tracker in &mut trackers {
        for report in &reports {
            tracker.merge(at(20), report);
        }
        assert!(tracker.is_held(CRASHER));
    }
}

#[test]
fn updates_forwarded_by_receivers() {
    let mut first = tracker_against(3);
    let mut second = CrashTracker::default();
    second.merge(at(4000), &first.unsent(at(4000)));
    let mut third = CrashTracker::default();
    third.merge(at(4100), &second.unsent(at(4100)));
    assert!(third.is_held(CRASHER));
}

#[test]
fn updates_resent_for_a_limited_time() {
    let mut tracker = tracker_against(3);
    while !tracker.unsent(at(3000)).is_empty() {}
    assert!(!tracker.unsent(at(12_000)).is_empty());
    assert!(tracker.unsent(at(60_000)).is_empty());
}

#[test]
fn clearance_reaches_other_hosts_and_outlives_older_updates() {
    let mut first_host = tracker_against(3);
    let old = first_host.full_report(at(3000));
    let mut serving_host = first_host.clone();
    serving_host.record_served(at(4000), CRASHER);
    first_host.merge(at(4100), &serving_host.unsent(at(4100)));
    assert!(!first_host.is_held(CRASHER));
    first_host.merge(at(4200), &old);
    assert!(!first_host.is_held(CRASHER));
}

#[test]
fn clearance_by_a_host_that_served_the_request_before_the_update() {
    let mut serving_host = CrashTracker::default();
    serving_host.record_served(at(2900), CRASHER);
    let mut first_host = tracker_against(3);
    serving_host.merge(at(3000), &first_host.unsent(at(3000)));
    assert!(!serving_host.is_held(CRASHER));
    first_host.merge(at(3100), &serving_host.unsent(at(3100)));
    assert!(!first_host.is_held(CRASHER));
}

#[test]
fn return_sent_to_other_hosts() {
    let retention_ms = CRASH_RETENTION.as_millis() as u64;
    let mut tracker = tracker_against(3);
    let mut other = tracker.clone();
    while !tracker.unsent(at(30_000)).is_empty() {}
    tracker.record_return(at(retention_ms / 2), CRASHER);
    other.merge(at(retention_ms / 2), &tracker.unsent(at(retention_ms / 2)));
    other.expire(at(retention_ms + 3000));
    assert!(other.is_held(CRASHER));
}
