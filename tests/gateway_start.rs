//! Start of hosts: where they fetch their first view, and which parts of it they may use.

use std::time::Duration;
use tealcleat::bench::site::{SitePlan, StoreFault, TestSite};
use tealcleat::keys::ServerKey;

mod site_common;

use site_common::runtime;

const POLL_PERIOD: Duration = Duration::from_millis(10);

/// A stale list contains a server that has been removed since. The list must not be used before the
/// changes after it have been fetched.
#[test]
fn first_server_list_omits_removed_servers() {
    runtime().block_on(async {
        let mut site =
            TestSite::start(SitePlan { hosts: 0, ..SitePlan::default() }).await.expect("one");
        site.store.freeze_stale_lists();
        site.store.change(|objects| objects.remove("servers", "i-decode-0"));
        site.add_host().await.expect("a host");
        site.wait_ready().await;
        let state = site.hosts[0].host.state();
        assert!(state.fleet.entry(ServerKey::of("i-decode-0")).is_none());
        assert!(state.fleet.entry(ServerKey::of("i-decode-1")).is_some());
    });
}

/// Hosts restart one after the other while the store answers no host.
#[test]
fn joining_host_fetches_view_from_peers() {
    runtime().block_on(async {
        let mut site = TestSite::start(SitePlan::default()).await.expect("a site");
        site.store.set_fault(StoreFault::Busy);
        let before = site.store.list_calls();
        for _ in 0..3 {
            site.add_host().await.expect("a host");
            site.wait_ready().await;
        }
        assert_eq!(site.store.list_calls(), before);
    });
}

/// All hosts start at the same time; the first one to finish its listing spares the others theirs.
#[test]
fn hosts_started_together_all_get_a_view() {
    runtime().block_on(async {
        let plan = SitePlan { hosts: 6, ..SitePlan::default() };
        let site = TestSite::start(plan).await.expect("a site");
        for gateway in &site.hosts {
            while gateway.host.state().fleet.entries().count() < site.servers.len() {
                tokio::time::sleep(POLL_PERIOD).await;
            }
        }
    });
}

/// Hundreds of hosts start at the same time and list thousands of servers, and the store refuses some of
/// the pages. A listing that restarts with its first page after a refusal never completes.
#[test]
fn listing_continues_after_a_refused_page() {
    runtime().block_on(async {
        let mut site =
            TestSite::start(SitePlan { hosts: 0, ..SitePlan::default() }).await.expect("one");
        site.store.set_fault(StoreFault::BusyBetweenPages);
        site.add_host().await.expect("a host");
        site.wait_ready().await;
        assert_eq!(site.hosts[0].host.state().fleet.entries().count(), site.servers.len());
    });
}
