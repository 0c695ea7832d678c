//! Entries in the store that come from another writer: they name no server to use, and all others hold.

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

/// A change behind the unreadable one reaches the host, by the watch that it had.
async fn assert_watch_goes_on(site: &TestSite, lists_before: u64) {
    let address = site.servers[0].address;
    site.state_server("i-newcomer", "app", address, None, "draining");
    wait_until("a later change does not arrive", || knows(site, "i-newcomer")).await;
    assert_eq!(site.store.lists(), lists_before, "the list was asked for again");
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
fn first_list_passes_over_an_entry(#[case] change: FieldChange) {
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
fn known_server_is_out_of_use_once_its_entry_is_unreadable(#[case] change: FieldChange) {
    runtime().block_on(async {
        let site = site_of(1).await;
        let lists = site.store.lists();
        let spec = changed_spec(site.servers[0].address, change);
        site.store.change(|objects| objects.set_raw_spec(SERVERS_KIND, KNOWN, &spec));
        wait_until("the server stays in use", || !knows(&site, KNOWN)).await;
        assert_servers(&site, Some(KNOWN));
        for number in 0..4 {
            let reply = call_first_host(&site, &call("GET", "safe", &format!("r{number}"))).await;
            assert_eq!(reply.status, 200);
        }
        assert_eq!(site.services[0].runs(), Vec::<String>::new());
        assert_watch_goes_on(&site, lists).await;
    });
}

/// An unreadable entry alone moves the revision on that other hosts go on from.
#[test]
fn revision_goes_on_after_an_unreadable_entry_of_an_unknown_server() {
    runtime().block_on(async {
        let site = site_of(1).await;
        site.store.change(|objects| objects.set_raw_item(SERVERS_KIND, FOREIGN, b"null"));
        reach_revision(&site).await;
        assert_servers(&site, None);
    });
}

/// The contents of an entry that goes do not matter.
#[test]
fn watch_goes_on_behind_an_unreadable_entry_that_goes() {
    runtime().block_on(async {
        let site = site_of(1).await;
        let lists = site.store.lists();
        site.store.change(|objects| {
            objects.set_raw_spec(SERVERS_KIND, KNOWN, b"\"\xff\"");
            objects.remove(SERVERS_KIND, KNOWN);
        });
        wait_until("the server stays in use", || !knows(&site, KNOWN)).await;
        assert_servers(&site, Some(KNOWN));
        assert_watch_goes_on(&site, lists).await;
    });
}

#[test]
fn server_is_in_use_again_once_its_entry_is_readable() {
    runtime().block_on(async {
        let site = site_of(1).await;
        site.store.change(|objects| objects.set_raw_spec(SERVERS_KIND, KNOWN, b"\"\xff\""));
        wait_until("the server stays in use", || !knows(&site, KNOWN)).await;
        let server = site.servers.iter().find(|server| server.id == KNOWN).expect("one");
        site.state_server(KNOWN, server.service, server.address, server.stage, "ready");
        wait_until("the server does not come back", || knows(&site, KNOWN)).await;
    });
}

/// All of an item, its metadata included; the place among the other servers is before, between and
/// behind them.
#[rstest]
fn item_of_no_shape_passed_over(
    #[values("a", "i-e", "z")] place: &str,
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
        site.store.change(|objects| objects.set_raw_item(SERVERS_KIND, place, item));
        add_ready_host(&mut site).await;
        assert_servers(&site, None);
        let lists = site.store.lists();
        site.store.change(|objects| objects.set_raw_item(SERVERS_KIND, "i-other", item));
        assert_watch_goes_on(&site, lists).await;
    });
}

/// An entry of a service that no configuration names is known, but nothing leads there.
#[test]
fn server_of_an_unnamed_service_gets_no_request() {
    runtime().block_on(async {
        let mut site = site_of(0).await;
        let stranger = Arc::new(SiteService::new(FOREIGN));
        let address = stranger.serve().await.expect("a port");
        site.state_server(FOREIGN, "nobody", address, None, "ready");
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

/// An unreadable object beside the configuration changes nothing, in the list or in the watch.
#[rstest]
#[case::spec_text(b"{\"metadata\":{\"name\":\"other\",\"revision\":3},\"spec\":\"text\"}")]
#[case::spec_no_utf8(b"{\"metadata\":{\"name\":\"other\",\"revision\":3},\"spec\":\"\xff\"}")]
#[case::no_object(b"null")]
#[case::no_metadata(b"{}")]
fn unreadable_object_beside_the_configuration(#[case] item: &[u8]) {
    runtime().block_on(async {
        let mut site = site_of(0).await;
        site.store.change(|objects| objects.set_raw_item("config", "another", item));
        add_ready_host(&mut site).await;
        site.store.change(|objects| objects.set_raw_item("config", "other", item));
        site.set_config(2, &config(2));
        let host = &site.hosts[0].host;
        wait_until("the configuration stays", || host.routes().version() == 2).await;
    });
}
