//! A request that crashes each server which begins to run it, and that its caller sends again and again, to any host.
//!
//! What was seen: series of servers ended, 13 and more each, one after the other, a tenth of a second after a run of
//! the same contents began there; with each went all that ran beside it. How it came about: the caller came back under
//! a new id, the next host knew nothing of it and sent it to the next server. Cause: what a request did to a server was
//! known within one call only; nothing was kept after it or told to other hosts. What proves it: the hosts' logs name
//! the contents of the request under which each server broke off, and in these tests each return reaches a server.

use rstest::rstest;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use tealcleat::bench::site::{RestartPlace, SiteCall, SitePlan, TestSite, call_site};
use tealcleat::bench::{GatewayProcess, ProcessPlan};
use tealcleat::quarantine::CRASH_RETENTION;

mod machine_common;
mod site_common;

use machine_common::{daemon, test_folder};
use site_common::{call, runtime};

const LOOK: Duration = Duration::from_millis(5);
/// Servers that must have ended under a request before it is held against it.
const CRASHES: usize = 3;
/// Until when all hosts have to know of the last one.
const CONTACT: Duration = Duration::from_millis(3000);
/// Sends that are allowed after that, over all hosts.
const MOST_SENDS: usize = 3;
const RETURNS: usize = 9;

/// A request whose contents crash the servers that run it; its id differs each time.
fn crashing_call(route: &str, serial: usize) -> SiteCall {
    let mut call = call("POST", route, &format!("crash-{serial}"));
    call.body = "crash";
    call
}

/// Times that crashing requests arrived at servers, prompts that were read for them included.
fn arrivals(site: &TestSite) -> usize {
    let engines = site.prefills.iter().chain(&site.decodes);
    let runs = engines.flat_map(|engine| engine.runs()).map(|run| run.request);
    let runs = runs.chain(site.services.iter().flat_map(|service| service.runs()));
    runs.filter(|id| id.starts_with("crash")).count()
}

/// Does what `calls` does, while servers that crash come back under their ids and at other addresses.
async fn while_up(site: &TestSite, calls: impl Future<Output = ()>) {
    let servers = site.servers.iter().map(|server| keep_server_up(site, &server.id));
    tokio::select! {
        () = calls => {}
        _ = futures_util::future::join_all(servers) => unreachable!("servers are kept up"),
    }
}

async fn keep_server_up(site: &TestSite, id: &str) -> std::convert::Infallible {
    loop {
        site.crashed(id).await.expect("a server");
        tokio::time::sleep(CRASHED_TIME).await;
        site.restart(id, RestartPlace::Other).await.expect("a restart");
    }
}

/// How long a server is away after a crash.
const CRASHED_TIME: Duration = Duration::from_millis(400);

/// Sends the request to the hosts in turn until `count` servers have ended under it.
async fn crash_servers(site: &TestSite, route: &str, hosts: &[SocketAddr], count: usize) {
    let down = || site.servers.iter().filter(|server| is_down(site, &server.id)).count();
    let mut ended = 0;
    for serial in 0.. {
        let host = hosts[serial % hosts.len()];
        // A crash breaks its caller's answer off, too.
        drop(call_site(host, &crashing_call(route, serial)).await);
        ended += down();
        while down() > 0 {
            tokio::time::sleep(LOOK).await;
        }
        if ended >= count {
            return;
        }
    }
}

fn is_down(site: &TestSite, id: &str) -> bool {
    futures_util::FutureExt::now_or_never(site.crashed(id)).is_some()
}

/// Sends it to the hosts in turn as a caller that does not give up.
async fn send_again(route: &str, hosts: &[SocketAddr]) {
    for serial in 0..RETURNS {
        let host = hosts[serial % hosts.len()];
        drop(call_site(host, &crashing_call(route, 1000 + serial)).await);
    }
}

/// Where callers reach the hosts.
fn callers(site: &TestSite) -> Vec<SocketAddr> {
    site.hosts.iter().map(|host| host.callers).collect()
}

async fn crashing_site(hosts: usize) -> TestSite {
    let plan = SitePlan { prefills: 2, decodes: 4, services: 4, hosts };
    TestSite::start(plan).await.expect("a site")
}

#[rstest]
#[case::stream("stream")]
#[case::resumable_stream("resume")]
#[case::safe("safe")]
#[case::unsafe_request("once")]
fn crashing_request_sent_no_further_after_three_crashes(#[case] route: &'static str) {
    runtime().block_on(async {
        let site = crashing_site(3).await;
        while_up(&site, crash_servers(&site, route, &callers(&site), CRASHES)).await;
        tokio::time::sleep(CONTACT).await;
        let before = arrivals(&site);
        while_up(&site, send_again(route, &callers(&site))).await;
        let sends = arrivals(&site) - before;
        assert!(sends <= MOST_SENDS, "{sends} sends");
    });
}

/// Neither host has ever heard of the other: one as if cut off from it, or as if it was started when all hosts
/// that knew were gone. Both reach the store.
#[rstest]
#[case::cut_off(true)]
#[case::started_after(false)]
fn crashing_request_known_to_a_host_without_neighbours(#[case] is_there: bool) {
    runtime().block_on(async {
        let mut site = crashing_site(1).await;
        if is_there {
            site.add_lone_host().await.expect("a host");
        }
        while_up(&site, crash_servers(&site, "stream", &callers(&site)[..1], CRASHES)).await;
        tokio::time::sleep(CONTACT).await;
        if !is_there {
            site.add_lone_host().await.expect("a host");
        }
        site.wait_ready().await;
        tokio::time::sleep(CONTACT).await;
        let before = arrivals(&site);
        while_up(&site, send_again("stream", &callers(&site)[1..])).await;
        let sends = arrivals(&site) - before;
        assert!(sends <= MOST_SENDS, "{sends} sends");
    });
}

#[test]
fn refusal_says_when_to_come_back_and_the_log_why() {
    runtime().block_on(async {
        let site = crashing_site(0).await;
        let folder = test_folder("crashing");
        let host = GatewayProcess::start(&ProcessPlan {
            program: daemon(),
            folder: &folder,
            name: "host",
            domain: "a",
            machine: Ipv4Addr::LOCALHOST.into(),
            store: site.store_address,
            seeds: &[],
            advertised: None,
            revocation: None,
            environment: &[],
        })
        .expect("a host");
        while call_site(host.callers, &call("GET", "safe", "first")).await.is_err() {
            tokio::time::sleep(LOOK).await;
        }
        while_up(&site, crash_servers(&site, "stream", &[host.callers], CRASHES)).await;
        let mut refusal = String::new();
        while_up(&site, async { refusal = log_line(&host, "event=request_held_back").await }).await;
        assert!(refusal.contains("contents=") && refusal.contains("crashes="), "{refusal}");
        let reply = call_site(host.callers, &crashing_call("stream", 2000)).await;
        let reply = reply.expect("an answer");
        assert_eq!(reply.status, 503);
        let pause: f64 = reply.header("retry-after").parse().expect("seconds");
        assert!(pause >= CRASH_RETENTION.as_secs_f64() / 2.0, "{pause}");
        let log = host.log().expect("a log");
        let crashes = log.lines().filter(|line| line.contains("event=server_crashed"));
        assert!(crashes.count() >= CRASHES, "each crash is told");
        std::fs::remove_dir_all(&folder).expect("an empty place");
    });
}

/// Sends crashing requests until the host's log has a line with `text`, and returns that.
async fn log_line(host: &GatewayProcess, text: &str) -> String {
    for serial in 1000.. {
        // Until it is held back, its caller's answer breaks off.
        drop(call_site(host.callers, &crashing_call("stream", serial)).await);
        let log = host.log().expect("a log");
        if let Some(line) = log.lines().find(|line| line.contains(text)) {
            return line.to_owned();
        }
    }
    unreachable!("the loop has no end")
}
