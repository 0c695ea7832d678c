//! Listings of the store whose pages hold entries that cannot be read.

use rstest::rstest;
use std::time::Duration;
use tealcleat::bench::site::{SitePlan, TestSite};
use tealcleat::platform::{ListAge, ObjectList, SERVERS_KIND, StoreClient};

mod entry_common;
mod site_common;

use entry_common::{
    KNOWN, LONGEST_WAIT, assert_servers, knows, reach_revision, site_of, wait_until,
};
use site_common::runtime;

async fn list(site: &TestSite) -> ObjectList {
    let client = StoreClient::new(site.store_address);
    let listing = client.list(SERVERS_KIND, ListAge::Newest, LONGEST_WAIT);
    let listed = tokio::time::timeout(LONGEST_WAIT, listing).await.expect("an end of the paging");
    listed.expect("a list")
}

fn assert_lists(listed: &ObjectList, names: &[&str]) {
    let listed: Vec<&str> = listed.items.iter().map(|object| object.name.as_str()).collect();
    assert_eq!(listed, names);
}

fn servers_alone() -> SitePlan {
    SitePlan { prefills: 0, decodes: 0, services: 6, hosts: 0 }
}

/// A page holds three items: the nameless one ends the first page, or the second one.
#[rstest]
#[case::of_the_first("i-service-1x")]
#[case::of_the_second("i-service-3x")]
fn paging_goes_on_behind_a_nameless_last_item(#[case] place: &str) {
    runtime().block_on(async {
        let site = TestSite::start(servers_alone()).await.expect("a site");
        site.store.change(|objects| objects.set_raw_item(SERVERS_KIND, place, b"null"));
        let expected: Vec<&str> = site.servers.iter().map(|server| server.id.as_str()).collect();
        assert_lists(&list(&site).await, &expected);
    });
}

/// Of a whole page nothing can be used, but the names can be read.
#[test]
fn paging_goes_on_behind_a_page_of_unreadable_entries() {
    runtime().block_on(async {
        let site = TestSite::start(servers_alone()).await.expect("a site");
        site.store.change(|objects| {
            for name in ["a-0", "a-1", "a-2", "a-3"] {
                objects.set_raw_spec(SERVERS_KIND, name, b"\"\xff\"");
            }
        });
        let expected: Vec<&str> = site.servers.iter().map(|server| server.id.as_str()).collect();
        assert_lists(&list(&site).await, &expected);
    });
}

/// Behind a whole page without a name nothing can be asked for: the listing ends with what it has.
#[test]
fn paging_ends_at_a_page_without_names() {
    runtime().block_on(async {
        let site = TestSite::start(servers_alone()).await.expect("a site");
        site.store.change(|objects| {
            for name in ["i-service-1a", "i-service-1b", "i-service-1c"] {
                objects.set_raw_item(SERVERS_KIND, name, b"null");
            }
        });
        assert_lists(&list(&site).await, &["i-service-0", "i-service-1"]);
    });
}

/// Two items that stand at the ends of pages bear names that lead back to each other's page.
#[test]
fn paging_ends_where_names_lead_in_a_circle() {
    runtime().block_on(async {
        let site = TestSite::start(SitePlan { services: 0, ..servers_alone() }).await.expect("one");
        let named = |name: &str| {
            format!("{{\"metadata\":{{\"name\":\"{name}\",\"revision\":1}},\"spec\":{{}}}}")
                .into_bytes()
        };
        site.store.change(|objects| {
            for name in ["a-0", "a-1", "n-0", "n-1", "z-0"] {
                objects.set_raw_spec(SERVERS_KIND, name, b"{}");
            }
            objects.set_raw_item(SERVERS_KIND, "a-2", &named("m"));
            objects.set_raw_item(SERVERS_KIND, "n-2", &named("a"));
        });
        let listed = list(&site).await;
        assert!(!listed.is_complete);
        for name in ["a-0", "a-1", "n-0", "n-1"] {
            assert!(listed.items.iter().any(|object| object.name == name), "{name}");
        }
    });
}

/// A name that another writer chose may hold signs that have a meaning in a query.
#[rstest]
#[case::space("i-service-1 x")]
#[case::ampersand("i-service-1&x=1")]
#[case::percent("i-service-1%41")]
#[case::no_ascii("i-service-1é")]
fn paging_goes_on_behind_a_name(#[case] name: &str) {
    runtime().block_on(async {
        let site = TestSite::start(servers_alone()).await.expect("a site");
        site.store.change(|objects| objects.set_raw_spec(SERVERS_KIND, name, b"null"));
        let listed = list(&site).await;
        let names: Vec<&str> = listed.items.iter().map(|object| object.name.as_str()).collect();
        let servers = site.servers.iter();
        assert!(
            servers.map(|server| server.id.as_str()).all(|id| names.contains(&id)),
            "{names:?}"
        );
    });
}

/// A listing that could not go on says nothing of the servers behind its end.
#[test]
fn servers_behind_a_page_without_names_hold() {
    runtime().block_on(async {
        let site = site_of(1).await;
        site.store.change(|objects| {
            for name in ["i-a", "i-b", "i-c", "i-d"] {
                objects.set_raw_item(SERVERS_KIND, name, b"{}");
            }
            objects.compact();
        });
        reach_revision(&site).await;
        assert_servers(&site, None);
    });
}

/// The list names a known server in an unreadable way.
#[test]
fn known_server_is_out_of_use_once_the_list_is_unreadable_there() {
    runtime().block_on(async {
        let site = site_of(1).await;
        site.store.change(|objects| {
            objects.set_raw_spec(SERVERS_KIND, KNOWN, b"\"\xff\"");
            objects.compact();
        });
        wait_until("the server stays in use", || !knows(&site, KNOWN)).await;
        assert_servers(&site, Some(KNOWN));
    });
}

/// Near an outage of the store a server whose entry is missing is kept, but not one whose entry is there
/// and cannot be read.
#[test]
fn list_near_an_outage_keeps_no_server_with_an_unreadable_entry() {
    /// Far enough ahead that the grace for lapses outlasts the test.
    const OUTAGE: Duration = Duration::from_secs(600);
    const MISSING: &str = "i-service-1";
    runtime().block_on(async {
        let site = site_of(1).await;
        let host = &site.hosts[0].host;
        let back_at = host.now() + OUTAGE;
        host.state().fleet.record_store_answer(back_at, Duration::ZERO);
        site.store.change(|objects| {
            objects.set_raw_spec(SERVERS_KIND, KNOWN, b"\"\xff\"");
            objects.remove(SERVERS_KIND, MISSING);
            objects.compact();
        });
        wait_until("the server stays in use", || !knows(&site, KNOWN)).await;
        assert!(knows(&site, MISSING));
    });
}

/// A page that is cut off is no list.
#[test]
fn page_that_is_cut_off_is_an_error() {
    runtime().block_on(async {
        let site = TestSite::start(servers_alone()).await.expect("a site");
        site.store.change(|objects| objects.set_raw_item(SERVERS_KIND, "a", b"{\"metadata\":{"));
        let client = StoreClient::new(site.store_address);
        let listed = client.list(SERVERS_KIND, ListAge::Newest, LONGEST_WAIT).await;
        listed.expect_err("no list");
    });
}
