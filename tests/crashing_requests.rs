//! A request that crashes every server that begins to run it, sent repeatedly by its caller to any host.
//!
//! Guards against chains of crashes: 13 and more servers crashed one after the other, each a tenth of a second after it
//! began to run a request with the same contents, and all other runs there were lost. The caller retried under a new
//! id, and the next host sent the request to the next server, because crashes were known within one call only and
//! neither remembered nor shared with other hosts. The hosts' logs name the contents of the request during which a
//! server broke off.

use rstest::rstest;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use tealcleat::bench::site::{SiteCall, SitePlan, TestSite, call_site};
use tealcleat::bench::{DEFAULT_GRACE, GatewayProcess, ProcessPlan};
use tealcleat::quarantine::CRASH_RETENTION;
use tealcleat::settings::LoadFeatures;

mod crash_common;
mod machine_common;
mod site_common;

use crash_common::{callers, is_down, with_restarts};
use machine_common::{daemon, test_folder};
use site_common::{call, runtime};

const POLL_PERIOD: Duration = Duration::from_millis(5);
/// Servers that must have crashed while running a request before it is held back.
const CRASHES: usize = 3;
/// Time within which all hosts must know of the last crash.
const SPREAD_TIME: Duration = Duration::from_millis(3000);
/// Sends to servers that are allowed after that, over all hosts.
const MAX_SENDS: usize = 3;
const RETRIES: usize = 9;

/// A request whose contents crash the servers that run it; its id differs each time.
fn crashing_call(route: &str, serial: usize) -> SiteCall {
    let mut call = call("POST", route, &format!("crash-{serial}"));
    call.body = "crash";
    call
}

/// Number of times that crashing requests arrived at servers, including prompts read for them.
fn arrivals(site: &TestSite) -> usize {
    let engines = site.prefills.iter().chain(&site.decodes);
    let runs = engines.flat_map(|engine| engine.runs()).map(|run| run.request);
    let runs = runs.chain(site.services.iter().flat_map(|service| service.runs()));
    runs.filter(|id| id.starts_with("crash")).count()
}

/// Sends the request to the hosts round-robin until `count` servers have crashed.
async fn crash_servers(site: &TestSite, route: &str, hosts: &[SocketAddr], count: usize) {
    let down = || site.servers.iter().filter(|server| is_down(site, &server.id)).count();
    let mut crashed = 0;
    for serial in 0.. {
        let host = hosts[serial % hosts.len()];
        // A crash also breaks off the answer to the caller.
        drop(call_site(host, &crashing_call(route, serial)).await);
        crashed += down();
        while down() > 0 {
            tokio::time::sleep(POLL_PERIOD).await;
        }
        if crashed >= count {
            return;
        }
    }
}

/// Sends the request to the hosts round-robin, as a caller that does not give up.
async fn send_retries(route: &str, hosts: &[SocketAddr]) {
    for serial in 0..RETRIES {
        let host = hosts[serial % hosts.len()];
        drop(call_site(host, &crashing_call(route, 1000 + serial)).await);
    }
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
fn crashing_request_held_back_after_three_crashes(#[case] route: &'static str) {
    runtime().block_on(async {
        let site = crashing_site(3).await;
        with_restarts(&site, crash_servers(&site, route, &callers(&site), CRASHES)).await;
        tokio::time::sleep(SPREAD_TIME).await;
        let before = arrivals(&site);
        with_restarts(&site, send_retries(route, &callers(&site))).await;
        let sends = arrivals(&site) - before;
        assert!(sends <= MAX_SENDS, "{sends} sends");
    });
}

/// Neither host has ever known of the other: the second one is partitioned from the first, or was started after all
/// hosts that knew of the crashes were gone. Both reach the store.
#[rstest]
#[case::cut_off(true)]
#[case::started_after(false)]
fn crashing_request_known_to_an_isolated_host(#[case] starts_before: bool) {
    runtime().block_on(async {
        let mut site = crashing_site(1).await;
        if starts_before {
            site.add_isolated_host().await.expect("a host");
        }
        with_restarts(&site, crash_servers(&site, "stream", &callers(&site)[..1], CRASHES)).await;
        tokio::time::sleep(SPREAD_TIME).await;
        if !starts_before {
            site.add_isolated_host().await.expect("a host");
        }
        site.wait_ready().await;
        tokio::time::sleep(SPREAD_TIME).await;
        let before = arrivals(&site);
        with_restarts(&site, send_retries("stream", &callers(&site)[1..])).await;
        let sends = arrivals(&site) - before;
        assert!(sends <= MAX_SENDS, "{sends} sends");
    });
}

#[test]
fn refusal_states_retry_delay_and_log_its_cause() {
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
            grace: DEFAULT_GRACE,
            retries: None,
            features: LoadFeatures::default(),
            limits: None,
            environment: &[],
        })
        .expect("a host");
        while call_site(host.callers, &call("GET", "safe", "first")).await.is_err() {
            tokio::time::sleep(POLL_PERIOD).await;
        }
        with_restarts(&site, crash_servers(&site, "stream", &[host.callers], CRASHES)).await;
        let mut refusal = String::new();
        with_restarts(&site, async { refusal = log_line(&host, "event=request_held_back").await })
            .await;
        assert!(refusal.contains("contents=") && refusal.contains("crashes="), "{refusal}");
        let reply = call_site(host.callers, &crashing_call("stream", 2000)).await;
        let reply = reply.expect("an answer");
        assert_eq!(reply.status, 503);
        let pause: f64 = reply.header("retry-after").parse().expect("seconds");
        assert!(pause >= CRASH_RETENTION.as_secs_f64() / 2.0, "{pause}");
        let log = host.log().expect("a log");
        let crashes = log.lines().filter(|line| line.contains("event=server_crashed"));
        assert!(crashes.count() >= CRASHES, "each crash is logged");
        std::fs::remove_dir_all(&folder).expect("the folder is removed");
    });
}

/// Sends crashing requests until the host's log has a line with `text`, and returns that.
async fn log_line(host: &GatewayProcess, text: &str) -> String {
    for serial in 1000.. {
        // The answer to the caller breaks off until the request is held back.
        drop(call_site(host.callers, &crashing_call("stream", serial)).await);
        let log = host.log().expect("a log");
        if let Some(line) = log.lines().find(|line| line.contains(text)) {
            return line.to_owned();
        }
    }
    unreachable!("the loop does not end")
}
