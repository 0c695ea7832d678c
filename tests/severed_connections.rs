//! All open connections to servers fall silent for good, without a reset, while new ones work.
//!
//! Guards against streams that wait on such a connection until their callers give up, or go on at another software
//! version, and against requests that are sent on one after the other of them.

use rstest::rstest;
use std::time::Duration;
use tealcleat::bench::links::LinkProxy;
use tealcleat::bench::site::{CallerReply, SitePlan, TestSite, call_site};

mod site_common;

use site_common::{call, runtime};

/// Time between the events of a stream, long enough for connections to fall silent within it.
const EVENT_INTERVAL: Duration = Duration::from_millis(100);

/// A host before servers that it reaches through links; two decode engines run each of the versions `v1` and `v1.1`.
async fn linked_site() -> (TestSite, Vec<LinkProxy>) {
    let plan = SitePlan { prefills: 2, decodes: 4, services: 2, hosts: 0 };
    let mut site = TestSite::start(plan).await.expect("a site");
    let mut links = Vec::new();
    for index in 0..site.servers.len() {
        let server = site.servers[index].clone();
        if server.stage.is_some() {
            let version = if index % 2 == 0 { "v1" } else { "v1.1" };
            site.replace_software(&server.id, version).await.expect("it is replaced");
        }
        let link = LinkProxy::start(server.address).await.expect("a link");
        site.write_entry(&server.id, server.service, link.address, server.stage, "ready");
        let source = site.prefills.iter().find(|engine| engine.id == server.id);
        for (decode, source) in site.decodes.iter().zip(source.into_iter().cycle()) {
            decode.add_source(link.address, source);
        }
        links.push(link);
    }
    for engine in &site.decodes {
        engine.set_event_interval(EVENT_INTERVAL);
    }
    site.add_host().await.expect("a host");
    site.wait_ready().await;
    (site, links)
}

async fn ask(site: &TestSite, method: &'static str, route: &str, id: String) -> CallerReply {
    call_site(site.hosts[0].callers, &call(method, route, &id)).await.expect("an answer")
}

#[rstest]
#[case::early(150)]
#[case::late(550)]
fn severed_streams_go_on_at_their_version(#[case] after_ms: u64) {
    runtime().block_on(async {
        let (site, links) = linked_site().await;
        // A host that has just started may resume two streams on its own budget of retries.
        let streams = (0..2).map(|index| ask(&site, "POST", "resume", format!("r{index}")));
        let sever = async {
            tokio::time::sleep(Duration::from_millis(after_ms)).await;
            links.iter().for_each(LinkProxy::stall_open_connections);
        };
        let (replies, ()) = tokio::join!(futures_util::future::join_all(streams), sever);
        for reply in replies {
            assert!(reply.complete, "{:?} {:?}", reply.status, reply.events());
            let versions = reply.event_versions();
            assert!(versions.iter().all(|version| *version == versions[0]), "{versions:?}");
        }
    });
}

#[test]
fn severed_plain_requests_served_soon() {
    runtime().block_on(async {
        let (site, links) = linked_site().await;
        for index in 0..4 {
            assert!(ask(&site, "GET", "safe", format!("warm{index}")).await.status.is_success());
        }
        links.iter().for_each(LinkProxy::stall_open_connections);
        let mut failed = 0;
        for index in 0..8 {
            let reply = ask(&site, "GET", "safe", format!("p{index}")).await;
            failed += usize::from(!reply.status.is_success());
        }
        assert!(failed <= 2, "{failed} of 8 failed: one for each server at most");
    });
}
