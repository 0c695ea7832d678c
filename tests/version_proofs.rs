//! What proves that a stream which no host knows goes on at the version, and at the service, that began it.
//!
//! Guards against answers that are joined from two versions, or from two services, after all hosts were killed.

use rstest::rstest;
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::Duration;
use tealcleat::bench::site::{
    CallerReply, SiteCall, SiteEngine, SitePlan, TestSite, call_site, config,
};
use tealcleat::bench::{DEFAULT_GRACE, GatewayProcess};
use tealcleat::gateway::Gateway;

mod machine_common;
mod site_common;
mod stop_common;

use machine_common::test_folder;
use site_common::{call, engine_runs, runtime};
use stop_common::{send, start_process, wait_ended, wait_ready};

const VERSIONS: (&str, &str) = ("tealcleat-versions", "main");
const EVENT_INTERVAL: Duration = Duration::from_millis(100);
/// A stream has relayed events after this time, and not all of them.
const SOME_EVENTS: Duration = Duration::from_millis(350);
const POLL_PERIOD: Duration = Duration::from_millis(5);
/// Several times as long as a host that watches the store needs to write what it knows.
const WRITE_TIME: Duration = Duration::from_millis(1500);

/// A request that takes the stream of the attempt `first` up after the event `after`.
fn taken_up(id: &str, first: &str, after: u64) -> SiteCall {
    let mut call = call("POST", "resume", id);
    call.headers.push(("last-event-id", after.to_string()));
    call.headers.push(("resumes", first.to_owned()));
    call
}

async fn site_without_hosts() -> TestSite {
    let plan = SitePlan { prefills: 1, decodes: 2, services: 1, hosts: 0 };
    let site = TestSite::start(plan).await.expect("a site");
    for engine in &site.decodes {
        engine.set_event_interval(EVENT_INTERVAL);
    }
    replace_all(&site, "v1").await;
    site
}

async fn replace_all(site: &TestSite, version: &str) {
    for id in ["i-prefill-0", "i-decode-0", "i-decode-1"] {
        site.replace_software(id, version).await.expect("it is replaced");
    }
}

/// Begins the stream `r1` and kills the only host in its middle. Returns what its caller got.
async fn begin_and_kill(site: &TestSite, process: &mut GatewayProcess) -> CallerReply {
    let stream = send(process, call("POST", "resume", "r1"));
    while !engine_runs(site, "r1").iter().any(|run| run.stage == "decode") {
        tokio::time::sleep(POLL_PERIOD).await;
    }
    tokio::time::sleep(SOME_EVENTS).await;
    process.signal("-KILL").expect("it is killed");
    wait_ended(process).await;
    let reply = stream.await.expect("it ends").expect("the head of an answer");
    assert!(!reply.complete && !reply.events().is_empty(), "the test needs a stream that is cut");
    reply
}

async fn restart(process: &mut GatewayProcess) {
    process.restart().expect("it starts again");
    wait_ready(process).await;
}

/// All servers of the only version leave for a new one while all hosts are dead. The hosts that start then have seen the
/// new version only; the store must tell them of the former one.
#[test]
fn version_that_left_while_hosts_were_dead_refused() {
    runtime().block_on(async {
        let site = site_without_hosts().await;
        let folder = test_folder("versions-left");
        let mut process = start_process(&site, &folder, DEFAULT_GRACE).await;
        tokio::time::sleep(WRITE_TIME).await;
        let begun = begin_and_kill(&site, &mut process).await;
        replace_all(&site, "v2").await;
        restart(&mut process).await;
        let last = *begun.events().last().expect("an event");
        let reply = call_site(process.callers, &taken_up("r1-again", "r1", last)).await;
        assert_eq!(reply.expect("an answer").status, 503);
        assert!(engine_runs(&site, "r1-again").is_empty());
        std::fs::remove_dir_all(&folder).expect("the folder is removed");
    });
}

/// With the same version before and after, the stream goes on, also where all hosts were killed.
#[test]
fn single_version_goes_on_after_all_hosts_were_killed() {
    runtime().block_on(async {
        let site = site_without_hosts().await;
        let folder = test_folder("versions-stay");
        let mut process = start_process(&site, &folder, DEFAULT_GRACE).await;
        tokio::time::sleep(WRITE_TIME).await;
        let begun = begin_and_kill(&site, &mut process).await;
        restart(&mut process).await;
        let last = *begun.events().last().expect("an event");
        let reply = call_site(process.callers, &taken_up("r1-again", "r1", last)).await;
        let reply = reply.expect("an answer");
        assert!(reply.complete, "{:?}", reply.status);
        assert_eq!(reply.events(), ((last + 1)..8).collect::<Vec<_>>());
        std::fs::remove_dir_all(&folder).expect("the folder is removed");
    });
}

/// What the store keeps cannot be read: nothing is proved, and a host that has just started does not write over it what
/// little it knows itself.
#[rstest]
#[case::other_type(json!({"versions": "all"}))]
#[case::no_key(json!({"versions": [{"service": "x", "version": "y", "gone_ms": null}]}))]
#[case::no_list(json!({}))]
fn unreadable_versions_prove_nothing(#[case] unreadable: Value) {
    runtime().block_on(async {
        let mut site = site_without_hosts().await;
        let (kind, name) = VERSIONS;
        site.store.change(|objects| objects.set(kind, name, unreadable.clone()));
        site.add_host().await.expect("a host");
        site.wait_ready().await;
        tokio::time::sleep(WRITE_TIME).await;
        let callers = site.hosts[0].callers;
        let reply = call_site(callers, &taken_up("r1-again", "r1", 2)).await.expect("an answer");
        assert_eq!(reply.status, 503);
        assert_eq!(site.store.spec(kind, name), Some(unreadable));
    });
}

/// The other service of [`split_site`] with its only engine, which reads prompts itself.
const OTHER_SERVICE: &str = "engines-b";

fn split_config(version: u64, weights: &[(&str, f64)]) -> Value {
    let mut config = config(version);
    let targets: Vec<Value> = weights
        .iter()
        .map(|(service, weight)| json!({"service": service, "weight": weight}))
        .collect();
    let mut other = config["services"][0].clone();
    other["name"] = json!(OTHER_SERVICE);
    config["services"].as_array_mut().expect("services").push(other);
    let route = &mut config["routes"][1];
    match weights {
        [(service, _)] => route["service"] = json!(service),
        _ => {
            route.as_object_mut().expect("a route").remove("service");
            route["split"] = json!(targets);
        }
    }
    config
}

/// Two hosts before two services, each with engines of a single version.
async fn split_site(weights: &[(&str, f64)]) -> (TestSite, Arc<SiteEngine>) {
    let mut site = site_without_hosts().await;
    let other = Arc::new(SiteEngine::new("i-other", "decode", 8, Duration::from_millis(5)));
    let address = other.serve().await.expect("a port");
    site.store.change(|objects| {
        let entry = json!({"service": OTHER_SERVICE, "address": address.to_string(), "zone": "a",
            "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0, "seq": 0,
            "stage": "decode"});
        objects.set("servers", "i-other", entry);
    });
    site.set_config(2, &split_config(2, weights));
    site.add_host().await.expect("a host");
    site.wait_ready().await;
    (site, other)
}

/// Whether an engine ran a request.
fn ran(engine: &SiteEngine, id: &str) -> bool {
    engine.runs().iter().any(|run| run.request == id)
}

/// A route is split over two services. A stream that is taken up goes on at the service that began it, whatever the id of
/// the attempt.
#[test]
fn stream_of_split_route_goes_on_at_its_service() {
    runtime().block_on(async {
        let (site, other) = split_site(&[("engines", 0.5), (OTHER_SERVICE, 0.5)]).await;
        let callers = site.hosts[0].callers;
        for index in 0..12 {
            let first = format!("r{index}");
            let reply = call_site(callers, &call("POST", "resume", &first)).await;
            assert!(reply.expect("an answer").complete);
            let again = format!("again-{index}");
            let reply = call_site(callers, &taken_up(&again, &first, 2)).await.expect("an answer");
            assert!(reply.complete, "{:?}", reply.status);
            assert_eq!(ran(&other, &again), ran(&other, &first), "{first}");
        }
    });
}

async fn refused_after_move(gateway: &Gateway) -> bool {
    let reply = call_site(gateway.callers, &taken_up("again", "unknown", 2)).await;
    reply.expect("an answer").status == 503
}

/// A route moves to another service. A stream that no host knows may have begun at the former one.
#[test]
fn unknown_stream_of_moved_route_refused() {
    runtime().block_on(async {
        let (site, other) = split_site(&[("engines", 1.0)]).await;
        let gateway = &site.hosts[0];
        assert!(!refused_after_move(gateway).await, "one version of one service is proved");
        site.set_config(3, &split_config(3, &[(OTHER_SERVICE, 1.0)]));
        while gateway.host.routes().version() < 3 {
            tokio::time::sleep(POLL_PERIOD).await;
        }
        assert!(refused_after_move(gateway).await);
        assert!(!ran(&other, "again"));
    });
}

/// A route that is split: nobody knows at which of its services an unknown stream began.
#[test]
fn unknown_stream_of_split_route_refused() {
    runtime().block_on(async {
        let (site, _) = split_site(&[("engines", 0.5), (OTHER_SERVICE, 0.5)]).await;
        assert!(refused_after_move(&site.hosts[0]).await);
    });
}
