//! How many retries hosts may make without a grant of an owner.

use std::time::Duration;
use tealcleat::keys::TimePoint;
use tealcleat::retries::{OwnShare, RetryBounds, RetryWindow};

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}

fn bounds() -> RetryBounds {
    RetryBounds { ratio: 0.2, slack: 160.0, window: Duration::from_secs(10), domains: 1 }
}

/// The share of one of ten hosts that have been up for a whole window.
fn share() -> OwnShare {
    OwnShare::new(&bounds(), bounds().window, Some(10))
}

/// A host that just started does not know what other lives of it used, nor how many hosts there are.
#[test]
fn share_grows_with_age() {
    let taken = |age: Duration, hosts| {
        let share = OwnShare::new(&bounds(), age, hosts);
        let mut window = RetryWindow::default();
        (0..100).filter(|_| window.try_take(at(0), &bounds(), share, 1)).count()
    };
    assert_eq!(taken(bounds().window, None), 0, "it has met no other host");
    assert_eq!(taken(Duration::from_millis(1_900), Some(10)), 0, "it may not have met all");
    assert_eq!(taken(Duration::from_millis(2_100), Some(10)), 2, "other lives of it used the rest");
    assert_eq!(taken(bounds().window, Some(10)), 4);
    assert_eq!(taken(Duration::ZERO, Some(1)), 4, "there are no others");
}

#[test]
fn retries_bounded_by_share_of_slack_and_ratio() {
    let mut window = RetryWindow::default();
    let taken = (0..100).filter(|_| window.try_take(at(0), &bounds(), share(), 1)).count();
    assert_eq!(taken, 4, "a tenth of a quarter of the slack");
    for _ in 0..100 {
        window.record_request(at(100), &bounds());
    }
    let taken = (0..100).filter(|_| window.try_take(at(200), &bounds(), share(), 1)).count();
    assert_eq!(taken, 14, "0.2 of 100 requests with its margin of 0.7");
}

/// Hosts that decide independently of each other stay below the common bound in every sliding window.
#[test]
fn retries_of_all_hosts_bounded_in_every_window() {
    let mut windows = vec![RetryWindow::default(); 10];
    let mut requests = Vec::new();
    let mut retries = Vec::new();
    for step in 0..4000_u64 {
        let now = at(step * 10);
        // A retry storm every five seconds, in which each request needs three retries.
        let busy = (step / 250).is_multiple_of(2);
        let host = &mut windows[(step % 10) as usize];
        if busy || step.is_multiple_of(20) {
            host.record_request(now, &bounds());
            requests.push(step * 10);
        }
        for _ in 0..3 {
            if host.try_take(now, &bounds(), share(), 1) {
                retries.push(step * 10);
            }
        }
    }
    for end in (0..40_000_u64).step_by(250) {
        let within = |times: &[u64], from: u64, to: u64| {
            times.iter().filter(|time| **time >= from && **time < to).count() as f64
        };
        let from = end.saturating_sub(10_000);
        let earlier = within(&requests, from.saturating_sub(10_000), from);
        let middle = within(&requests, from.saturating_sub(5000), end.saturating_sub(5000));
        let allowed = within(&requests, from, end).max(earlier).max(middle) * 0.2 + 160.0 * 0.25;
        assert!(within(&retries, from, end) <= allowed, "window ending at {end}");
    }
}
