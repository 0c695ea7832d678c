//! How fresh a host may hold its view to be, and when it knows that it is behind.

use std::time::Duration;
use tealcleat::fleet::ViewFreshness;
use tealcleat::keys::TimePoint;

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}

const AGE: Duration = Duration::from_millis(200);

#[test]
fn answer_to_a_host_with_more_says_nothing_of_an_older_view() {
    let mut freshness = ViewFreshness::default();
    freshness.record_complete(at(1000), 5);
    freshness.apply_age(at(3000), 5, 6, AGE);
    assert_eq!(freshness.age(at(3000), 5), Duration::from_millis(2000));
    freshness.apply_age(at(3000), 6, 6, AGE);
    assert_eq!(freshness.age(at(3000), 6), AGE);
}

/// Where changes come all the time, a host is always told of a little more than it holds.
#[test]
fn answer_to_a_host_with_more_counts_once_as_much_is_held() {
    let mut freshness = ViewFreshness::default();
    freshness.record_complete(at(1000), 5);
    freshness.apply_age(at(3000), 5, 6, AGE);
    freshness.apply_age(at(3100), 5, 8, AGE);
    assert_eq!(freshness.age(at(3200), 6), Duration::from_millis(400));
    freshness.apply_age(at(3300), 6, 8, AGE);
    assert_eq!(freshness.age(at(3400), 6), Duration::from_millis(600));
    assert_eq!(freshness.age(at(3400), 8), Duration::from_millis(300));
}

#[test]
fn host_is_behind_since_it_was_first_told() {
    let mut freshness = ViewFreshness::default();
    freshness.apply_revision(at(1000), 5, 6);
    freshness.apply_revision(at(1400), 5, 8);
    assert_eq!(freshness.behind_for(at(1500), 5), Some(Duration::from_millis(500)));
    // What it was told of first is there; the rest must be heard again.
    assert_eq!(freshness.behind_for(at(1600), 6), None);
    freshness.apply_revision(at(1700), 6, 8);
    assert_eq!(freshness.behind_for(at(1800), 6), Some(Duration::from_millis(100)));
}

#[test]
fn older_or_same_views_of_others_leave_a_host_as_it_is() {
    let mut freshness = ViewFreshness::default();
    freshness.apply_revision(at(1000), 5, 5);
    freshness.apply_revision(at(1000), 5, 4);
    assert_eq!(freshness.behind_for(at(9000), 5), None);
}

/// A listing may name a later revision than the last change; a host that asked the store up to there lacks nothing.
#[test]
fn store_without_further_changes_ends_a_lag() {
    let mut freshness = ViewFreshness::default();
    freshness.apply_revision(at(1000), 5, 9);
    freshness.record_complete(at(2000), 9);
    freshness.apply_revision(at(2100), 5, 9);
    assert_eq!(freshness.behind_for(at(3000), 5), None);
    freshness.apply_revision(at(3100), 5, 10);
    assert_eq!(freshness.behind_for(at(3200), 5), Some(Duration::from_millis(100)));
}

/// A host that asked the store since nobody else seemed to goes on until it hears of a newer answer than its own: others hand
/// its own back to it.
#[test]
fn own_answer_is_the_newest_until_another_is_told() {
    let mut freshness = ViewFreshness::default();
    freshness.record_complete(at(1000), 5);
    assert!(freshness.has_newest_answer());
    freshness.apply_age(at(1500), 5, 5, Duration::from_millis(250));
    assert!(freshness.has_newest_answer());
    freshness.apply_age(at(1600), 5, 5, Duration::from_millis(250));
    assert!(!freshness.has_newest_answer());
    freshness.record_complete(at(2000), 5);
    assert!(freshness.has_newest_answer());
}
