//! Freshness of a host's view, and when the host knows that it is behind.

use std::time::Duration;
use tealcleat::fleet::ViewFreshness;
use tealcleat::keys::TimePoint;

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}

const AGE: Duration = Duration::from_millis(200);

#[test]
fn answer_to_a_newer_host_does_not_refresh_an_older_view() {
    let mut freshness = ViewFreshness::default();
    freshness.record_complete(at(1000), 5);
    freshness.apply_age(at(3000), 5, 6, AGE);
    assert_eq!(freshness.age(at(3000), 5), Duration::from_millis(2000));
    freshness.apply_age(at(3000), 6, 6, AGE);
    assert_eq!(freshness.age(at(3000), 6), AGE);
}

/// With continuous changes, other hosts always announce slightly newer revisions than the host has.
#[test]
fn answer_to_a_newer_host_counts_once_its_revision_is_reached() {
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
fn host_is_behind_since_the_first_announcement() {
    let mut freshness = ViewFreshness::default();
    freshness.apply_revision(at(1000), 5, 6);
    freshness.apply_revision(at(1400), 5, 8);
    assert_eq!(freshness.behind_for(at(1500), 5), Some(Duration::from_millis(500)));
    // The first announced revision is reached; a newer one must be announced again.
    assert_eq!(freshness.behind_for(at(1600), 6), None);
    freshness.apply_revision(at(1700), 6, 8);
    assert_eq!(freshness.behind_for(at(1800), 6), Some(Duration::from_millis(100)));
}

#[test]
fn same_or_older_views_of_others_do_not_count() {
    let mut freshness = ViewFreshness::default();
    freshness.apply_revision(at(1000), 5, 5);
    freshness.apply_revision(at(1000), 5, 4);
    assert_eq!(freshness.behind_for(at(9000), 5), None);
}

/// A listing may name a later revision than the last change; a host with the store's answer for it has a complete view.
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

/// A host that polls the store because no other host seems to get answers continues until it is told of an answer newer
/// than its own. Other hosts also send its own answer time back to it, which does not count.
#[test]
fn own_answer_is_newest_until_a_newer_one_is_received() {
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

/// A host that had just started took a view of long ago for one as new as its own start, and told others so.
#[test]
fn stated_age_of_view_kept_by_young_host() {
    let mut freshness = ViewFreshness::default();
    assert_eq!(freshness.age(at(100), 5), Duration::MAX, "nothing is known yet");
    freshness.apply_age(at(100), 5, 5, Duration::from_secs(8));
    assert_eq!(freshness.age(at(300), 5), Duration::from_millis(8200));
    freshness.apply_age(at(400), 5, 6, Duration::from_secs(3));
    assert_eq!(freshness.age(at(400), 6), Duration::from_secs(3), "once the revision is reached");
}

/// The store has answered others, but never this host.
#[test]
fn answer_before_the_start_is_newer_than_none() {
    let mut freshness = ViewFreshness::default();
    assert!(freshness.has_newest_answer());
    freshness.apply_age(at(100), 5, 5, Duration::from_secs(8));
    assert!(!freshness.has_newest_answer());
}
