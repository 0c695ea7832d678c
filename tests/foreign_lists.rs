//! Listings of the store whose pages contain unreadable entries.

use rstest::rstest;
use serde_json::json;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tealcleat::Error;
use tealcleat::bench::site::{SitePlan, TestSite};
use tealcleat::platform::{ListAge, ObjectList, SERVERS_KIND, StoreClient};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

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

/// A page holds three items; the nameless item is the last one of the first page or of the second page.
#[rstest]
#[case::of_the_first("i-service-1x")]
#[case::of_the_second("i-service-3x")]
fn paging_continues_after_a_nameless_last_item(#[case] key: &str) {
    runtime().block_on(async {
        let site = TestSite::start(servers_alone()).await.expect("a site");
        site.store.change(|objects| objects.set_raw_item(SERVERS_KIND, key, b"null"));
        let expected: Vec<&str> = site.servers.iter().map(|server| server.id.as_str()).collect();
        assert_lists(&list(&site).await, &expected);
    });
}

/// No entry of a page is usable, but their names are readable.
#[test]
fn paging_continues_after_a_page_of_unreadable_entries() {
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

/// No page can be requested after one without any readable name, so the listing ends with the entries read so far.
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

/// The last items of two pages have names that lead back to each other's page.
#[test]
fn paging_ends_when_names_form_a_cycle() {
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

/// A name chosen by another writer may contain characters with a special meaning in a query.
#[rstest]
#[case::space("i-service-1 x")]
#[case::ampersand("i-service-1&x=1")]
#[case::percent("i-service-1%41")]
#[case::no_ascii("i-service-1é")]
fn paging_continues_after_a_name(#[case] name: &str) {
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

/// An incomplete listing says nothing about the servers after its end, so they stay in use.
#[test]
fn servers_after_a_page_without_names_stay_in_use() {
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

/// The entry of a known server is unreadable in a new listing.
#[test]
fn known_server_is_not_used_once_its_listed_entry_is_unreadable() {
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

/// Around an outage of the store, a server whose entry is missing stays in use, but not one whose entry exists and is
/// unreadable.
#[test]
fn list_around_an_outage_removes_server_with_an_unreadable_entry() {
    /// Far enough in the future that the grace period for expired entries outlasts the test.
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

/// A truncated page is not accepted as a listing.
#[test]
fn truncated_page_is_an_error() {
    runtime().block_on(async {
        let site = TestSite::start(servers_alone()).await.expect("a site");
        site.store.change(|objects| objects.set_raw_item(SERVERS_KIND, "a", b"{\"metadata\":{"));
        let client = StoreClient::new(site.store_address);
        let listed = client.list(SERVERS_KIND, ListAge::Newest, LONGEST_WAIT).await;
        listed.expect_err("the page is truncated");
    });
}

/// Pages after which a listing without end counts as read for ever; 64 of them fill the budget.
const MAX_PAGES: usize = 400;

/// Guards against a listing that goes on for ever, each page with new names: all of its objects were kept.
#[test]
fn endless_listing_is_given_up() {
    runtime().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let pages = Arc::new(AtomicUsize::new(0));
        let served = Arc::clone(&pages);
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let mut request = [0; 4096];
                while stream.read(&mut request).await.is_ok_and(|count| count > 0) {
                    let number = served.fetch_add(1, Ordering::Relaxed);
                    if stream.write_all(&endless_page(number)).await.is_err() {
                        break;
                    }
                }
            }
        });
        let client = StoreClient::bounded(address, 1 << 20);
        let listing = client.list("servers", ListAge::Newest, Duration::from_secs(5));
        let given_up = tokio::select! {
            listed = listing => listed,
            () = async {
                while pages.load(Ordering::Relaxed) < MAX_PAGES {
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
            } => panic!("it is read on after {MAX_PAGES} pages"),
        };
        assert!(matches!(given_up, Err(Error::TooLong { .. })), "{given_up:?}");
    });
}

/// A page of 16 KiB whose only object has a name of its own.
fn endless_page(number: usize) -> Vec<u8> {
    let item = json!({"metadata": {"name": format!("i-{number:08}"), "revision": 5, "made": 1},
        "spec": {"filler": "a".repeat(16 << 10)}});
    let body = json!({"items": [item], "more": true, "at": 5}).to_string();
    let head = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    (head + &body).into_bytes()
}
