//! Sound servers stand still for a while and go on, with calls, reads and tunnels in flight there.
//!
//! Guards against answers that a host's own decision on silence ends although the server is alive, and against sound
//! servers that silence alone marks as lost.

use std::sync::Arc;
use std::time::Duration;
use tealcleat::bench::site::{CallerReply, SiteCall, SitePlan, SiteService, TestSite};
use tealcleat::keys::{ServerKey, TimePoint};
use tealcleat::peers::PeerClient;
use tealcleat::placement::SilentAttempts;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

mod objective_common;
mod site_common;

use objective_common::{
    OBJECTIVE, TEST_LIMIT, deny_repeats, reply_of, site_with, start_call, wait_until,
};
use site_common::{call, runtime};

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

/// Calls while all servers stand still; they go on once the call has been silent twice over.
async fn call_through_silence(site: &Arc<TestSite>, call: SiteCall) -> CallerReply {
    stall_services(site);
    let id = call.id.clone();
    let caller = start_call(site, call);
    wait_until(|| arrivals(site, &id) == 1).await;
    tokio::time::sleep(OBJECTIVE * 4).await;
    release_services(site);
    reply_of(caller).await
}

/// Guards against a safe call that ends as `no_answer`, with time left, because its silent server is the only one.
#[test]
fn only_server_answers_after_silence() {
    runtime().block_on(async {
        let site = site_with(SitePlan { services: 1, ..SitePlan::default() }, |_| {}).await;
        let reply = call_through_silence(&site, call("GET", "safe", "r1")).await;
        assert_eq!((reply.status.as_u16(), &reply.body[..]), (200, &b"/safe/x?y=1 r1"[..]));
        assert_eq!(arrivals(&site, "r1"), 1);
    });
}

/// Guards against a safe call that is given up for silence although the retry budget allows no other send.
#[test]
fn silent_call_kept_without_retry_budget() {
    runtime().block_on(async {
        let site = site_with(SitePlan::default(), deny_repeats).await;
        let reply = call_through_silence(&site, call("GET", "safe", "r1")).await;
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
        let reply = call_through_silence(&site, call("POST", "once", "r1")).await;
        assert_eq!(reply.status.as_u16(), 200);
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
