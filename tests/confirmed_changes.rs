//! What the operator and the servers have written to the store is in force at each host within seconds.
//!
//! What was seen: hosts of all failure domains answered 404 on routes that had been confirmed, served routes that had been
//! dropped, and sent to servers that had said they were leaving, for as long as 25 s. How it came about: open connections
//! between hosts fell silent, or a configuration of thousands of routes changed while the store answered no host. Cause:
//! a connection between hosts was used for ever, whatever became of the calls on it; the same question was asked of the
//! store again and again, with an answer longer than the time allowed for it; and a host that knew itself to be behind
//! held its view to be fresh, since the store had answered others. What proved it: the logs of hosts that were behind
//! for seconds tell of calls given up on old connections, of answers thrown away after a megabyte and a half, and of a
//! store that had answered somebody a moment ago.

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

/// Routes of a configuration of a megabyte.
const LARGE_ROUTES: usize = 4000;
/// Versions that are confirmed while the store answers no host, and how long it does not.
const AWAY_VERSIONS: u64 = 8;
const AWAY_TIME: Duration = Duration::from_millis(1500);
const LEAVING: &str = "i-service-0";

/// Two hosts of one failure domain, behind links. The first one watches the store.
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
        // By now the second host has asked the first one, on a connection that both keep.
        hosts.confirm(2).await;
        hosts
    }

    /// Confirms a version with a route of its own, and waits until it is in force everywhere.
    async fn confirm(&self, version: u64) {
        self.site.set_config(version, &added_route(version));
        for (place, gateway) in self.site.hosts.iter().enumerate() {
            let what = format!("version {version} is never in force at host {place}");
            wait_until(&what, || gateway.host.routes().version() >= version).await;
        }
    }

    /// A server says that it is leaving; waits until no host gives it new work.
    async fn drain(&self) {
        let server = self.site.servers.iter().find(|server| server.id == LEAVING);
        let server = server.expect("a server");
        let (service, address) = (server.service, server.address);
        self.site.state_server(LEAVING, service, address, server.stage, "draining");
        for (place, gateway) in self.site.hosts.iter().enumerate() {
            let key = ServerKey::of(LEAVING);
            let what = format!("host {place} never knows that the server leaves");
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

/// How the connections between hosts fail; datagrams still pass.
#[derive(Debug, Clone, Copy)]
enum LinkFault {
    /// Those that are open fall silent, new ones work.
    OpenSilent,
    /// New ones are accepted, and silent as well.
    AllSilent,
}

#[rstest]
#[case::open_connections(LinkFault::OpenSilent)]
#[case::all_connections(LinkFault::AllSilent)]
fn confirmed_changes_in_force_beside_silent_connections(#[case] fault: LinkFault) {
    runtime().block_on(async {
        let hosts = LinkedHosts::start().await;
        for link in &hosts.links {
            match fault {
                LinkFault::OpenSilent => link.connections.silence_open(),
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

/// The link carries 10 Mbit/s, and no host has heard of any of the versions when the store answers again.
#[rstest]
#[case::history_kept(false)]
#[case::history_forgotten(true)]
fn confirmed_changes_in_force_after_a_store_was_away(#[case] is_forgotten: bool) {
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
        tokio::time::sleep(AWAY_TIME).await;
        let last = 2 + AWAY_VERSIONS;
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

/// A host hears that there is a newer version, and gets it neither from others nor from the store. Whether a route is there
/// it can't tell: callers may come back, or ask another host.
#[test]
fn routes_not_denied_by_a_host_that_knows_itself_to_be_behind() {
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
        wait_until("the other never hears of it", || behind.host.is_behind()).await;
        let reply = call_site(behind.callers, &call("GET", "added-3", "asks-early")).await;
        let reply = reply.expect("an answer");
        assert_eq!(reply.status, 503);
        assert!(!reply.header("retry-after").is_empty());
        for link in &hosts.links {
            link.connections.set(ProxyMode::Pass);
        }
        hosts.site.store.set_fault(StoreFault::None);
        wait_until("it never gets the version", || behind.host.routes().version() == 3).await;
        assert!(is_served(behind.callers, "added-3").await);
        let reply = call_site(behind.callers, &call("GET", "never-there", "asks-late")).await;
        assert_eq!(reply.expect("an answer").status, 404);
    });
}
