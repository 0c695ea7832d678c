//! Watches that cannot go on from where they were.

use std::time::Duration;
use tealcleat::bench::site::{SitePlan, TestSite};
use tealcleat::platform::{CRASHES_OBJECT, MAX_OBJECT_BYTES};

mod site_common;

use site_common::runtime;

/// Long enough for hundreds of calls that follow each other without a pause.
const OBSERVED_TIME: Duration = Duration::from_millis(1500);
/// Calls within that time: a host lists each kind that it follows once more, and each watch waits for a second or longer.
const MOST_CALLS: u64 = 30;

/// Guards against a watcher that reads the copy of crashes and watches it in turns without a pause: it watched from the
/// revision of the servers' last change, from which the store could no longer answer. Here the answer is too long; a store
/// that has lost the history since then refuses it in the same way.
#[test]
fn unusable_watch_costs_few_calls() {
    runtime().block_on(async {
        let site = TestSite::start(SitePlan::default()).await.expect("a site");
        let (kind, name) = CRASHES_OBJECT;
        let spec = serde_json::json!({"crashes": [], "unknown": "x".repeat(MAX_OBJECT_BYTES)});
        site.store.change(|objects| objects.set(kind, name, spec));
        let before = site.store.call_counts().0;
        tokio::time::sleep(OBSERVED_TIME).await;
        let calls = site.store.call_counts().0 - before;
        assert!(calls <= MOST_CALLS, "{calls} calls");
    });
}
