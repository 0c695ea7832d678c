//! Sound servers stand still for a while and go on, with calls, reads and tunnels in flight there.
//!
//! Guards against answers that a host's own decision on silence ends although the server is alive, and against sound
//! servers that silence alone marks as lost.

use serde_json::json;
use std::sync::Arc;
use std::time::Duration;
use tealcleat::bench::site::{
    CallerReply, SiteCall, SitePlan, SiteRun, SiteService, TestSite, call_site, config,
};
use tealcleat::keys::{ServerKey, TimePoint};
use tealcleat::peers::PeerClient;
use tealcleat::placement::SilentAttempts;
use tealcleat::settings::GatewaySettings;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::JoinHandle;

mod site_common;

use site_common::{call, engine_runs, runtime};

/// The objective of the routes; a call is silent after two of them.
const OBJECTIVE: Duration = Duration::from_millis(150);
/// After this time a host counts a read of a prompt as silent.
const READ_SILENCE: Duration = Duration::from_millis(1500);
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Ends a test that waits for what does not come.
const TEST_LIMIT: Duration = Duration::from_secs(10);

/// A site of one host whose routes have a short objective, so that silence is noticed soon.
async fn site_with(plan: SitePlan, adjust: impl FnOnce(&mut GatewaySettings)) -> Arc<TestSite> {
    site_of(OBJECTIVE, plan, adjust).await
}

async fn site_of(
    objective: Duration,
    plan: SitePlan,
    adjust: impl FnOnce(&mut GatewaySettings),
) -> Arc<TestSite> {
    let mut site = TestSite::start(SitePlan { hosts: 0, ..plan }).await.expect("it starts");
    let mut config = config(2);
    for route in config["routes"].as_array_mut().expect("routes") {
        route["slo_ms"] = json!(objective.as_millis());
    }
    site.set_config(2, &config);
    site.add_host_with(adjust).await.expect("a host");
    site.wait_ready().await;
    Arc::new(site)
}

/// Hosts that may not send anything again.
fn deny_repeats(settings: &mut GatewaySettings) {
    settings.bounds.retries.ratio = 0.0;
    settings.bounds.retries.slack = 0.0;
}

fn start_call(site: &Arc<TestSite>, call: SiteCall) -> JoinHandle<CallerReply> {
    let host = site.hosts[0].callers;
    tokio::spawn(async move { call_site(host, &call).await.expect("an answer") })
}

async fn reply_of(caller: JoinHandle<CallerReply>) -> CallerReply {
    let reply = tokio::time::timeout(TEST_LIMIT, caller).await;
    reply.expect("the answer comes").expect("the caller ends")
}

async fn wait_until(is_met: impl Fn() -> bool) {
    let waiting = async {
        while !is_met() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(TEST_LIMIT, waiting).await.expect("it comes");
}

fn arrivals_at(service: &SiteService, id: &str) -> usize {
    service.arrivals.requests().iter().filter(|arrival| arrival.request == id).count()
}

fn arrivals(site: &TestSite, id: &str) -> usize {
    site.services.iter().map(|service| arrivals_at(service, id)).sum()
}

fn stall_services(site: &TestSite) {
    for service in &site.services {
        service.stall_gate.stall();
    }
}

fn release_services(site: &TestSite) {
    for service in &site.services {
        service.stall_gate.release();
    }
}

/// Guards against a safe call that ends as `no_answer`, with time left, because its silent server is the only one.
#[test]
fn only_server_answers_after_silence() {
    runtime().block_on(async {
        let site = site_with(SitePlan { services: 1, ..SitePlan::default() }, |_| {}).await;
        stall_services(&site);
        let caller = start_call(&site, call("GET", "safe", "r1"));
        wait_until(|| arrivals(&site, "r1") == 1).await;
        tokio::time::sleep(OBJECTIVE * 4).await;
        release_services(&site);
        let reply = reply_of(caller).await;
        assert_eq!((reply.status.as_u16(), &reply.body[..]), (200, &b"/safe/x?y=1 r1"[..]));
        assert_eq!(arrivals(&site, "r1"), 1);
    });
}

/// Guards against a safe call that is given up for silence although the retry budget allows no other send.
#[test]
fn silent_call_kept_without_retry_budget() {
    runtime().block_on(async {
        let site = site_with(SitePlan::default(), deny_repeats).await;
        stall_services(&site);
        let caller = start_call(&site, call("GET", "safe", "r1"));
        wait_until(|| arrivals(&site, "r1") == 1).await;
        tokio::time::sleep(OBJECTIVE * 4).await;
        release_services(&site);
        let reply = reply_of(caller).await;
        assert_eq!((reply.status.as_u16(), &reply.body[..]), (200, &b"/safe/x?y=1 r1"[..]));
        assert_eq!(arrivals(&site, "r1"), 1);
    });
}

/// Guards against a safe call whose first server goes on, while the host only listens to a second one that is silent.
#[test]
fn first_server_to_go_on_answers() {
    runtime().block_on(async {
        let site = site_with(SitePlan::default(), |_| {}).await;
        stall_services(&site);
        let caller = start_call(&site, call("GET", "safe", "r1"));
        wait_until(|| arrivals(&site, "r1") == 1).await;
        let first = site.services.iter().find(|service| arrivals_at(service, "r1") == 1);
        let first = Arc::clone(first.expect("one has it"));
        wait_until(|| arrivals(&site, "r1") == 2).await;
        first.stall_gate.release();
        let reply = reply_of(caller).await;
        assert_eq!((reply.status.as_u16(), &reply.body[..]), (200, &b"/safe/x?y=1 r1"[..]));
        assert_eq!(first.runs(), ["r1"]);
    });
}

/// Guards against a second run of a call that runs once, while its server stands still.
#[test]
fn unsafe_call_waits_for_its_silent_server() {
    runtime().block_on(async {
        let site = site_with(SitePlan::default(), |_| {}).await;
        stall_services(&site);
        let caller = start_call(&site, call("POST", "once", "r1"));
        wait_until(|| arrivals(&site, "r1") == 1).await;
        tokio::time::sleep(OBJECTIVE * 4).await;
        release_services(&site);
        assert_eq!(reply_of(caller).await.status.as_u16(), 200);
        assert_eq!(arrivals(&site, "r1"), 1);
    });
}

/// Guards against a call without an answer at its deadline, because attempts go on for as long as servers are silent.
#[test]
fn silent_call_ends_at_its_deadline() {
    runtime().block_on(async {
        let site = site_with(SitePlan::default(), |_| {}).await;
        stall_services(&site);
        let mut short = call("GET", "safe", "r1");
        short.headers[0].1 = (OBJECTIVE * 4).as_millis().to_string();
        let reply = reply_of(start_call(&site, short)).await;
        assert_eq!(reply.status.as_u16(), 504);
        assert_eq!(arrivals(&site, "r1"), 2);
    });
}

fn milliseconds(milliseconds: u64) -> TimePoint {
    TimePoint::default() + Duration::from_millis(milliseconds)
}

/// Guards against a second send before its time, and against one that is searched for again and again.
#[test]
fn another_server_searched_once_all_are_silent() {
    let [first, second] = ["a", "b"].map(ServerKey::of);
    let mut attempts = SilentAttempts::new(Duration::from_millis(400));
    assert_eq!(attempts.search_due_at(), None);
    attempts.begin(milliseconds(10), first);
    assert_eq!(attempts.search_due_at(), Some(milliseconds(410)));
    attempts.record_search(milliseconds(411));
    assert_eq!(attempts.search_due_at(), Some(milliseconds(811)));
    attempts.begin(milliseconds(811), second);
    assert_eq!(attempts.search_due_at(), Some(milliseconds(1211)));
    // The second one was turned away; the first one has long been silent.
    attempts.end(second);
    assert_eq!(attempts.search_due_at(), Some(milliseconds(410)));
    attempts.end(first);
    assert!(!attempts.is_any_running());
}

fn stall_prefills(site: &TestSite) {
    for engine in &site.prefills {
        engine.stall_gate.stall();
    }
}

fn release_prefills(site: &TestSite) {
    for engine in &site.prefills {
        engine.stall_gate.release();
    }
}

/// Arrivals of a request at prefill engines.
fn reads(site: &TestSite, id: &str) -> usize {
    let arrivals = site.prefills.iter().flat_map(|engine| engine.arrivals.requests());
    arrivals.filter(|arrival| arrival.request == id).count()
}

fn decode_runs(site: &TestSite, id: &str) -> Vec<SiteRun> {
    engine_runs(site, id).into_iter().filter(|run| run.stage == "decode").collect()
}

/// Guards against a stream that is refused as `prompt_not_read`, with time left, because the server that reads its prompt is
/// silent, while the decode server that holds its memory could read it.
#[test]
fn silent_read_left_to_the_decode_server() {
    runtime().block_on(async {
        let site = site_with(SitePlan::default(), |_| {}).await;
        stall_prefills(&site);
        let reply = reply_of(start_call(&site, call("POST", "stream", "r1"))).await;
        assert_eq!((reply.status.as_u16(), reply.events().len()), (200, 8));
        assert_eq!((reads(&site, "r1"), decode_runs(&site, "r1").len()), (1, 1));
    });
}

/// Guards against the same where the retry budget does not allow the decode server to read the prompt: the read that is in
/// flight is waited for.
#[test]
fn silent_read_kept_without_retry_budget() {
    runtime().block_on(async {
        let site = site_with(SitePlan::default(), deny_repeats).await;
        stall_prefills(&site);
        let caller = start_call(&site, call("POST", "stream", "r1"));
        wait_until(|| reads(&site, "r1") == 1).await;
        tokio::time::sleep(READ_SILENCE).await;
        release_prefills(&site);
        let reply = reply_of(caller).await;
        assert_eq!((reply.status.as_u16(), reply.events().len()), (200, 8));
        let fetched = decode_runs(&site, "r1").iter().map(|run| run.fetched).collect::<Vec<bool>>();
        assert_eq!((reads(&site, "r1"), fetched), (1, vec![true]));
    });
}

/// Guards against a refusal that is none: a request is refused while its silent read is kept, and then runs.
#[test]
fn kept_read_without_answer_never_runs() {
    runtime().block_on(async {
        let site = site_with(SitePlan::default(), deny_repeats).await;
        stall_prefills(&site);
        let mut short = call("POST", "stream", "r1");
        short.headers[0].1 = (READ_SILENCE + OBJECTIVE).as_millis().to_string();
        let reply = reply_of(start_call(&site, short)).await;
        assert_eq!(reply.status.as_u16(), 503);
        release_prefills(&site);
        tokio::time::sleep(OBJECTIVE).await;
        assert!(decode_runs(&site, "r1").is_empty());
    });
}

/// Guards against a stream that is refused for the retry budget while its objective has time left, because its silent read
/// was given up.
#[test]
fn silent_read_in_time_kept_without_retry_budget() {
    runtime().block_on(async {
        let site = site_of(READ_SILENCE * 2, SitePlan::default(), deny_repeats).await;
        stall_prefills(&site);
        let caller = start_call(&site, call("POST", "stream", "r1"));
        wait_until(|| reads(&site, "r1") == 1).await;
        tokio::time::sleep(READ_SILENCE).await;
        release_prefills(&site);
        let reply = reply_of(caller).await;
        assert_eq!((reply.status.as_u16(), reply.events().len()), (200, 8));
        let fetched = decode_runs(&site, "r1").iter().map(|run| run.fetched).collect::<Vec<bool>>();
        assert_eq!((reads(&site, "r1"), fetched), (1, vec![true]));
    });
}

/// Longer than a forwarded connection may be idle in a stop, from when connections begin to be closed.
const STOP_SILENCE: Duration = Duration::from_millis(4800);

/// Guards against an answer that is cut at another host, because the host in between stops while the server is silent.
#[test]
fn stopping_host_forwards_the_answer_of_a_silent_server() {
    runtime().block_on(async {
        let site = TestSite::start(SitePlan::default()).await.expect("it starts");
        let (service, server) = (&site.services[0], &site.servers[4]);
        assert_eq!(service.id, server.id);
        let client = PeerClient::new("a-shared-key-of-tests");
        let opened = client.open_tunnel(site.hosts[0].peers, server.address, false, TEST_LIMIT);
        let mut tunnel = opened.await.expect("a reply").expect("a connection");
        service.stall_gate.stall();
        let request =
            "GET /safe/x HTTP/1.1\r\nhost: a\r\nx-request-id: t1\r\nconnection: close\r\n\r\n";
        tunnel.write_all(request.as_bytes()).await.expect("it is sent");
        wait_until(|| arrivals_at(service, "t1") == 1).await;
        let host = Arc::clone(&site.hosts[0].host);
        let stopping = tokio::spawn(async move { host.stop_gracefully().await });
        tokio::time::sleep(STOP_SILENCE).await;
        service.stall_gate.release();
        let mut answer = String::new();
        let read = tokio::time::timeout(TEST_LIMIT, tunnel.read_to_string(&mut answer)).await;
        read.expect("an end").expect("a proper end");
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        stopping.await.expect("it stops");
    });
}

/// Guards against reports that call a server lost because a request with little time left had no answer in that time.
#[test]
fn read_out_of_time_is_no_evidence_against_its_server() {
    runtime().block_on(async {
        let share = |settings: &mut GatewaySettings| settings.features.shared_health = true;
        let site = site_with(SitePlan::default(), share).await;
        stall_prefills(&site);
        let mut short = call("POST", "stream", "r1");
        short.headers[0].1 = OBJECTIVE.as_millis().to_string();
        reply_of(start_call(&site, short)).await;
        assert_eq!(reads(&site, "r1"), 1);
        let host = &site.hosts[0].host;
        let now = host.now();
        let state = host.state();
        for engine in &site.prefills {
            assert!(!state.shared_health.is_doubtful(now, ServerKey::of(&engine.id)));
        }
    });
}
