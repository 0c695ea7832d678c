//! Store entries from another writer that describe no usable server. They must not affect the other entries.

use rstest::rstest;
use std::sync::Arc;
use tealcleat::bench::site::{SiteService, TestSite, config};
use tealcleat::platform::SERVERS_KIND;

mod entry_common;
mod site_common;

use entry_common::FieldChange::{self, Holds, Missing};
use entry_common::{
    FOREIGN, KNOWN, add_ready_host, assert_servers, changed_spec, knows, reach_revision, site_of,
    wait_until,
};
use site_common::{call, call_first_host, runtime};

/// Asserts that a later change reaches the host through its existing watch, without a new listing.
async fn assert_watch_continues(site: &TestSite, lists_before: u64) {
    let address = site.servers[0].address;
    site.write_entry("i-newcomer", "app", address, None, "draining");
    wait_until("a later change does not arrive", || knows(site, "i-newcomer")).await;
    assert_eq!(site.store.list_calls(), lists_before, "the objects were listed again");
}

#[rstest]
#[case::service_missing(Missing("service"))]
#[case::service_number(Holds("service", b"7"))]
#[case::service_empty(Holds("service", b"\"\""))]
#[case::address_missing(Missing("address"))]
#[case::address_without_port(Holds("address", b"\"127.0.0.1\""))]
#[case::zone_missing(Missing("zone"))]
#[case::zone_number(Holds("zone", b"1"))]
#[case::zone_no_utf8(Holds("zone", b"\"a\xff\""))]
#[case::slots_missing(Missing("slots"))]
#[case::slots_text(Holds("slots", b"\"8\""))]
#[case::slots_no_number(Holds("slots", b"NaN"))]
#[case::state_missing(Missing("state"))]
#[case::state_unknown(Holds("state", b"\"resting\""))]
#[case::state_cut_surrogate(Holds("state", b"\"\\ud800\""))]
#[case::stage_unknown(Holds("stage", b"\"rank\""))]
#[case::born_text(Holds("born", b"\"1700000000000\""))]
#[case::field_no_utf8(Holds("note", b"\"\xc3\x28\""))]
#[case::bytes_outside_text(Holds("note", b"\xfe\xff"))]
fn first_list_skips_an_unreadable_entry(#[case] change: FieldChange) {
    runtime().block_on(async {
        let mut site = site_of(0).await;
        let spec = changed_spec(site.servers[0].address, change);
        site.store.change(|objects| objects.set_raw_spec(SERVERS_KIND, FOREIGN, &spec));
        add_ready_host(&mut site).await;
        assert_servers(&site, None);
    });
}

#[rstest]
#[case::zone_missing(Missing("zone"))]
#[case::zone_no_utf8(Holds("zone", b"\"a\xff\""))]
#[case::slots_text(Holds("slots", b"\"8\""))]
#[case::state_unknown(Holds("state", b"\"resting\""))]
#[case::stage_unknown(Holds("stage", b"\"rank\""))]
#[case::born_fraction(Holds("born", b"1.5"))]
#[case::bytes_outside_text(Holds("note", b"\xfe\xff"))]
fn known_server_is_not_used_once_its_entry_is_unreadable(#[case] change: FieldChange) {
    runtime().block_on(async {
        let site = site_of(1).await;
        let lists = site.store.list_calls();
        let spec = changed_spec(site.servers[0].address, change);
        site.store.change(|objects| objects.set_raw_spec(SERVERS_KIND, KNOWN, &spec));
        wait_until("the server stays in use", || !knows(&site, KNOWN)).await;
        assert_servers(&site, Some(KNOWN));
        for number in 0..4 {
            let reply = call_first_host(&site, &call("GET", "safe", &format!("r{number}"))).await;
            assert_eq!(reply.status, 200);
        }
        assert_eq!(site.services[0].runs(), Vec::<String>::new());
        assert_watch_continues(&site, lists).await;
    });
}

/// An unreadable entry on its own advances the revision from which other hosts continue.
#[test]
fn revision_advances_after_an_unreadable_entry_of_an_unknown_server() {
    runtime().block_on(async {
        let site = site_of(1).await;
        site.store.change(|objects| objects.set_raw_item(SERVERS_KIND, FOREIGN, b"null"));
        reach_revision(&site).await;
        assert_servers(&site, None);
    });
}

/// The contents of a removed entry do not matter.
#[test]
fn watch_continues_after_an_unreadable_entry_is_removed() {
    runtime().block_on(async {
        let site = site_of(1).await;
        let lists = site.store.list_calls();
        site.store.change(|objects| {
            objects.set_raw_spec(SERVERS_KIND, KNOWN, b"\"\xff\"");
            objects.remove(SERVERS_KIND, KNOWN);
        });
        wait_until("the server stays in use", || !knows(&site, KNOWN)).await;
        assert_servers(&site, Some(KNOWN));
        assert_watch_continues(&site, lists).await;
    });
}

#[test]
fn server_is_used_again_once_its_entry_is_readable() {
    runtime().block_on(async {
        let site = site_of(1).await;
        site.store.change(|objects| objects.set_raw_spec(SERVERS_KIND, KNOWN, b"\"\xff\""));
        wait_until("the server stays in use", || !knows(&site, KNOWN)).await;
        let server = site.servers.iter().find(|server| server.id == KNOWN).expect("one");
        site.write_entry(KNOWN, server.service, server.address, server.stage, "ready");
        wait_until("the server does not come back", || knows(&site, KNOWN)).await;
    });
}

/// Malformed items, including malformed metadata, that are sorted before, between and after the other servers.
#[rstest]
fn malformed_item_is_skipped(
    #[values("a", "i-e", "z")] name: &str,
    #[values(
        b"null".as_slice(),
        b"7",
        b"\"text\"",
        b"[]",
        b"[{\"name\":\"i-foreign\"},{}]",
        b"{}",
        b"{\"metadata\":null,\"spec\":{}}",
        b"{\"metadata\":\"i-foreign\",\"spec\":{}}",
        b"{\"metadata\":{\"name\":7,\"revision\":3},\"spec\":{}}",
        b"{\"metadata\":{\"name\":\"\",\"revision\":3},\"spec\":{}}",
        b"{\"metadata\":{\"name\":\"i-\xff\",\"revision\":3},\"spec\":{}}",
        b"{\"metadata\":{\"name\":\"i-foreign\",\"revision\":\"3\"},\"spec\":{}}",
        b"{\"metadata\":{\"name\":\"i-foreign\",\"revision\":3},\"spec\":[\"app\",\"127.0.0.1:1\",\"a\",8,\"ready\",null]}",
        b"{\"metadata\":{\"name\":\"i-foreign\",\"revision\":3},\"spec\":\"app\"}",
        b"{\"metadata\":{\"name\":\"i-foreign\",\"revision\":3},\"spec\":1e999}",
        b"{\"metadata\":{\"name\":\"i-foreign\",\"revision\":3}}",
        b"\xff\xfe",
        b"\"]}\\\"\xff\"",
    )]
    item: &[u8],
) {
    runtime().block_on(async {
        let mut site = site_of(0).await;
        site.store.change(|objects| objects.set_raw_item(SERVERS_KIND, name, item));
        add_ready_host(&mut site).await;
        assert_servers(&site, None);
        let lists = site.store.list_calls();
        site.store.change(|objects| objects.set_raw_item(SERVERS_KIND, "i-other", item));
        assert_watch_continues(&site, lists).await;
    });
}

/// An entry of a service that the configuration does not contain is known, but no route leads to it.
#[test]
fn server_of_an_unconfigured_service_gets_no_request() {
    runtime().block_on(async {
        let mut site = site_of(0).await;
        let stranger = Arc::new(SiteService::new(FOREIGN));
        let address = stranger.serve().await.expect("a port");
        site.write_entry(FOREIGN, "nobody", address, None, "ready");
        add_ready_host(&mut site).await;
        for route in ["safe", "once", "stream", "resume"] {
            for number in 0..4 {
                let method = if route == "safe" { "GET" } else { "POST" };
                let reply =
                    call_first_host(&site, &call(method, route, &format!("{route}{number}"))).await;
                assert_eq!(reply.status, 200, "{route}");
            }
        }
        assert_eq!(stranger.runs(), Vec::<String>::new());
    });
}

/// An unreadable object next to the configuration changes nothing, neither in the listing nor in the watch.
#[rstest]
#[case::spec_text(b"{\"metadata\":{\"name\":\"other\",\"revision\":3},\"spec\":\"text\"}")]
#[case::spec_no_utf8(b"{\"metadata\":{\"name\":\"other\",\"revision\":3},\"spec\":\"\xff\"}")]
#[case::no_object(b"null")]
#[case::no_metadata(b"{}")]
fn unreadable_object_next_to_the_configuration(#[case] item: &[u8]) {
    runtime().block_on(async {
        let mut site = site_of(0).await;
        site.store.change(|objects| objects.set_raw_item("config", "another", item));
        add_ready_host(&mut site).await;
        site.store.change(|objects| objects.set_raw_item("config", "other", item));
        site.set_config(2, &config(2));
        let host = &site.hosts[0].host;
        wait_until("the new configuration does not arrive", || host.routes().version() == 2).await;
    });
}
