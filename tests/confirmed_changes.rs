//! Changes that the operator and the servers have written to the store are in force at each host within seconds.
//!
//! The tests guard against hosts that, for up to 25 s, answer 404 on confirmed routes, serve removed routes, and send
//! requests to draining servers. This happens when open connections between hosts become unresponsive, or when a
//! configuration of thousands of routes changes while the store answers no host, through three faults: a connection
//! between hosts stays in use although calls on it time out; a host repeats a store query whose answer, of a megabyte
//! and a half, can't arrive before the timeout; and a host that knows that it is behind considers its view fresh
//! because the store has answered other hosts.

use rstest::rstest;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;
use tealcleat::bench::links::{HostLink, LinkProxy, LinkSockets, ProxyMode};
use tealcleat::bench::site::{
    SitePlan, StoreFault, TestSite, call_site, config, larger_config, plain_route,
};
use tealcleat::keys::ServerKey;

mod entry_common;
mod site_common;

use entry_common::wait_until;
use site_common::{call, runtime};

/// Number of routes in a configuration of one megabyte.
const LARGE_ROUTES: usize = 4000;
/// Versions confirmed during an outage of the store, and the duration of the outage.
const OUTAGE_VERSIONS: u64 = 8;
const OUTAGE_TIME: Duration = Duration::from_millis(1500);
const DRAINING_SERVER: &str = "i-service-0";

/// Two hosts of one failure domain, connected through link proxies. The first one watches the store.
struct LinkedHosts {
    site: TestSite,
    links: Vec<HostLink>,
}

impl LinkedHosts {
    async fn start() -> Self {
        let site = TestSite::start(SitePlan { hosts: 0, ..SitePlan::default() }).await;
        let mut site = site.expect("a site");
        let sockets = LinkSockets::default();
        let mut links = Vec::new();
        for _ in 0..2 {
            links.push(site.add_linked_host(&sockets).await.expect("a host"));
            site.wait_ready().await;
        }
        let hosts = Self { site, links };
        // After this, the second host has fetched from the first one on a connection that both keep open.
        hosts.confirm(2).await;
        hosts
    }

    /// Confirms a version that adds a route, and waits until it is in force at all hosts.
    async fn confirm(&self, version: u64) {
        self.site.set_config(version, &added_route(version));
        for (index, gateway) in self.site.hosts.iter().enumerate() {
            let what = format!("version {version} is never in force at host {index}");
            wait_until(&what, || gateway.host.routes().version() >= version).await;
        }
    }

    /// Puts a server into the draining state, and waits until no host sends it new work.
    async fn drain(&self) {
        let server = self.site.servers.iter().find(|server| server.id == DRAINING_SERVER);
        let server = server.expect("a server");
        let (service, address) = (server.service, server.address);
        self.site.write_entry(DRAINING_SERVER, service, address, server.stage, "draining");
        for (index, gateway) in self.site.hosts.iter().enumerate() {
            let key = ServerKey::of(DRAINING_SERVER);
            let what = format!("host {index} never knows that the server is draining");
            wait_until(&what, || !gateway.host.state().fleet.is_ready(key)).await;
        }
    }
}

fn added_route(version: u64) -> Value {
    let mut config = config(version);
    let route = plain_route("added", &format!("/added-{version}/"));
    config["routes"].as_array_mut().expect("routes").push(route);
    config
}

async fn is_served(host: SocketAddr, route: &str) -> bool {
    let reply = call_site(host, &call("GET", route, &format!("asks-{route}"))).await;
    reply.expect("an answer").status == 200
}

/// How connections between hosts fail; datagrams are still delivered.
#[derive(Debug, Clone, Copy)]
enum LinkFault {
    /// Open connections become unresponsive; new ones work.
    OpenSilent,
    /// Open connections become unresponsive; new ones are accepted, but are unresponsive as well.
    AllSilent,
}

#[rstest]
#[case::open_connections(LinkFault::OpenSilent)]
#[case::all_connections(LinkFault::AllSilent)]
fn confirmed_changes_in_force_with_silent_connections(#[case] fault: LinkFault) {
    runtime().block_on(async {
        let hosts = LinkedHosts::start().await;
        for link in &hosts.links {
            match fault {
                LinkFault::OpenSilent => link.connections.stall_open_connections(),
                LinkFault::AllSilent => link.connections.set(ProxyMode::Silent),
            }
        }
        hosts.confirm(3).await;
        hosts.drain().await;
        for gateway in &hosts.site.hosts {
            assert!(is_served(gateway.callers, "added-3").await);
        }
    });
}

/// The link carries 10 Mbit/s, and no host has received any of the versions when the store answers again.
#[rstest]
#[case::history_kept(false)]
#[case::history_forgotten(true)]
fn confirmed_changes_in_force_after_a_store_outage(#[case] is_forgotten: bool) {
    runtime().block_on(async {
        let site = TestSite::start(SitePlan { hosts: 0, ..SitePlan::default() }).await;
        let mut site = site.expect("a site");
        let link = LinkProxy::start(site.store_address).await.expect("a link");
        link.set(ProxyMode::Narrow);
        site.store_address = link.address;
        site.set_config(2, &larger_config(2, LARGE_ROUTES));
        site.add_host().await.expect("a host");
        site.wait_ready().await;
        site.store.set_fault(StoreFault::Busy);
        tokio::time::sleep(OUTAGE_TIME).await;
        let last = 2 + OUTAGE_VERSIONS;
        for version in 3..=last {
            site.set_config(version, &larger_config(version, LARGE_ROUTES));
        }
        if is_forgotten {
            site.store.change(|objects| objects.compact());
        }
        site.store.set_fault(StoreFault::None);
        let host = &site.hosts[0].host;
        wait_until("the last version is never in force", || host.routes().version() == last).await;
    });
}

/// A host learns that a newer version exists, but receives it neither from other hosts nor from the store. It cannot tell
/// whether a route exists, so it asks callers to retry later or at another host instead of answering 404.
#[test]
fn missing_routes_not_denied_by_a_host_that_is_behind() {
    runtime().block_on(async {
        let hosts = LinkedHosts::start().await;
        for link in &hosts.links {
            link.connections.set(ProxyMode::Silent);
        }
        hosts.site.set_config(3, &added_route(3));
        let first = &hosts.site.hosts[0].host;
        wait_until("the watcher never has the version", || first.routes().version() == 3).await;
        hosts.site.store.set_fault(StoreFault::Silent);
        let behind = &hosts.site.hosts[1];
        wait_until("the other host never learns of the version", || behind.host.is_behind()).await;
        let reply = call_site(behind.callers, &call("GET", "added-3", "asks-early")).await;
        let reply = reply.expect("an answer");
        assert_eq!(reply.status, 503);
        assert!(!reply.header("retry-after").is_empty());
        for link in &hosts.links {
            link.connections.set(ProxyMode::Pass);
        }
        hosts.site.store.set_fault(StoreFault::None);
        wait_until("the other host never receives the version", || {
            behind.host.routes().version() == 3
        })
        .await;
        assert!(is_served(behind.callers, "added-3").await);
        let reply = call_site(behind.callers, &call("GET", "never-there", "asks-late")).await;
        assert_eq!(reply.expect("an answer").status, 404);
    });
}
