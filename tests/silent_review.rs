//! Review of the streams' mend: what is still given up while it, or what replaces it, would have gone on.

use std::sync::Arc;
use std::time::Duration;
use tealcleat::bench::site::{EngineFault, SiteEngine, SitePlan, TestSite};
use tealcleat::peers::PeerClient;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

mod silent_common;
mod site_common;

use silent_common::{SILENCE, StreamCaller, all_events, slow_site, wait_counted, wait_running};
use site_common::runtime;

const POLL: Duration = Duration::from_millis(1);

/// What the host counted, to tell the cause of a failure.
fn counters(site: &TestSite) -> String {
    let names = [
        "silent_runs",
        "further_runs_begun",
        "further_runs_went_on",
        "silent_runs_kept",
        "silent_runs_lost",
        "silent_runs_went_on",
        "repeats_denied",
        "sends_uncounted",
    ];
    let count = |name: &'static str| (name, site.hosts[0].host.metrics().counter(name));
    let runs: Vec<bool> =
        site.decodes.iter().flat_map(|engine| engine.runs()).map(|run| run.cancelled).collect();
    format!("{:?} runs_closed={runs:?}", names.map(count))
}

/// Stalls the server of a stream, and the other one from the moment at which it has granted memory for a further run; returns
/// once that run was sent.
async fn stall_both_with_further_run(
    site: &TestSite,
    silent: &Arc<SiteEngine>,
    other: &Arc<SiteEngine>,
) {
    for engine in &site.prefills {
        engine.stall_gate.stall();
    }
    silent.stall_gate.stall();
    while other.open_holds() == 0 {
        tokio::time::sleep(POLL).await;
    }
    other.stall_gate.stall();
    for engine in &site.prefills {
        engine.stall_gate.release();
    }
    wait_counted(site, "further_runs_begun", 1).await;
}

/// Guards against an answer that is cut although its further run is about to write: the silent run broke meanwhile, the
/// further run was closed with it, and the route allows no third one.
#[test]
fn further_run_goes_on_when_the_silent_run_breaks() {
    runtime().block_on(async {
        let site = slow_site(SitePlan::default()).await;
        let mut caller = StreamCaller::send(site.hosts[0].callers, "r1").await;
        caller.read_event(2).await;
        let (silent, other) = wait_running(&site, "r1").await;
        stall_both_with_further_run(&site, &silent, &other).await;
        silent.set_fault(EngineFault::CutAfter(0));
        silent.stall_gate.release();
        tokio::time::sleep(Duration::from_millis(100)).await;
        other.stall_gate.release();
        let whole = caller.read_rest().await;
        assert!(whole, "it was cut after {:?}; {}", caller.events(), counters(&site));
        assert_eq!(caller.events(), all_events());
    });
}

/// Guards against a caller that is no longer served where its server is gone without a reset: the further run writes after
/// 0.6 s, as it waits for its prompt's memory, and was closed before.
#[test]
fn further_run_that_begins_late_goes_on_beside_a_dead_server() {
    runtime().block_on(async {
        let site = slow_site(SitePlan::default()).await;
        let mut caller = StreamCaller::send(site.hosts[0].callers, "r1").await;
        caller.read_event(2).await;
        let (silent, other) = wait_running(&site, "r1").await;
        stall_both_with_further_run(&site, &silent, &other).await;
        tokio::time::sleep(Duration::from_millis(600)).await;
        other.stall_gate.release();
        let rest = tokio::time::timeout(Duration::from_secs(8), caller.read_rest()).await;
        assert_eq!(rest, Ok(true), "after {:?}; {}", caller.events(), counters(&site));
        assert_eq!(caller.events(), all_events());
    });
}

/// Guards against a promise that a request has not run although a further run has begun: it was closed unrecorded when the
/// silent server rejected the request.
#[test]
fn request_with_a_further_run_is_never_refused_as_not_run() {
    runtime().block_on(async {
        let site = slow_site(SitePlan::default()).await;
        for engine in &site.prefills {
            engine.set_fault(EngineFault::LoseReads);
            engine.stall_gate.stall();
        }
        let mut caller = StreamCaller::send(site.hosts[0].callers, "r1").await;
        let holder = || site.decodes.iter().position(|engine| engine.open_holds() > 0);
        let place = loop {
            if let Some(place) = holder() {
                break place;
            }
            tokio::time::sleep(POLL).await;
        };
        let (silent, other) = (&site.decodes[place], &site.decodes[1 - place]);
        silent.stall_gate.stall();
        silent.set_fault(EngineFault::Changing);
        other.set_fault(EngineFault::StallAfter(0));
        for engine in &site.prefills {
            engine.stall_gate.release();
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
        for engine in &site.prefills {
            engine.set_fault(EngineFault::None);
        }
        while other.runs().is_empty() {
            tokio::time::sleep(POLL).await;
        }
        silent.stall_gate.release();
        while caller.status().is_empty() && caller.read_more_or_end().await {}
        assert_eq!(other.runs().len(), 1);
        let counters = counters(&site);
        assert!(!["429", "503"].contains(&caller.status()), "{}; {counters}", caller.status());
    });
}

/// Guards against an answer that is cut because the other servers are silent: its own server broke off, and those that could
/// go on stand still for two seconds.
#[test]
fn stream_of_a_lost_server_waits_for_silent_ones() {
    runtime().block_on(async {
        let site = slow_site(SitePlan::default()).await;
        let mut caller = StreamCaller::send(site.hosts[0].callers, "r1").await;
        caller.read_event(2).await;
        let (lost, other) = wait_running(&site, "r1").await;
        other.stall_gate.stall();
        lost.set_fault(EngineFault::CutAfter(0));
        tokio::time::sleep(SILENCE).await;
        other.stall_gate.release();
        assert!(caller.read_rest().await, "it was cut after {:?}", caller.events());
        assert_eq!(caller.events(), all_events());
    });
}

/// Guards against an answer of another host that is cut because its server is silent for two seconds while the host that
/// forwards the connection shuts down, long before its grace period ends.
#[test]
fn forwarded_answer_of_a_silent_server_goes_on_at_a_stopping_host() {
    runtime().block_on(async {
        let site = slow_site(SitePlan { decodes: 1, ..SitePlan::default() }).await;
        let server = site.servers.iter().find(|server| server.stage == Some("decode"));
        let server = server.expect("one").address;
        let client = PeerClient::new("a-shared-key-of-tests");
        let limit = Duration::from_secs(5);
        let opened = client.open_tunnel(site.hosts[0].peers, server, false, limit).await;
        let mut tunnel = opened.expect("a reply").expect("a connection");
        site.decodes[0].set_event_interval(Duration::from_millis(400));
        let request = "POST /resume/x HTTP/1.1\r\nhost: a\r\nx-request-id: t-1\r\nx-stage: decode\r\n\
            connection: close\r\ncontent-length: 0\r\n\r\n";
        tunnel.write_all(request.as_bytes()).await.expect("it is sent");
        let host = Arc::clone(&site.hosts[0].host);
        let stopping = tokio::spawn(async move { host.stop_gracefully().await });
        tokio::time::sleep(Duration::from_millis(1200)).await;
        site.decodes[0].stall_gate.stall();
        let gate = Arc::clone(&site.decodes[0]);
        tokio::spawn(async move {
            tokio::time::sleep(SILENCE).await;
            gate.stall_gate.release();
        });
        let mut answer = Vec::new();
        let end = tunnel.read_to_end(&mut answer).await;
        let answer = String::from_utf8_lossy(&answer);
        assert!(end.is_ok(), "{end:?} after {answer}");
        assert!(answer.contains("id: 7\n"), "{answer}");
        stopping.await.expect("it ends");
    });
}

/// Guards against an answer that is cut because the servers that read prompts are silent: its decode server broke off, and
/// another one that answers could read the prompt itself.
#[test]
fn stream_of_a_lost_server_goes_on_where_prefill_servers_are_silent() {
    runtime().block_on(async {
        let site = slow_site(SitePlan::default()).await;
        let mut caller = StreamCaller::send(site.hosts[0].callers, "r1").await;
        caller.read_event(2).await;
        let (lost, _) = wait_running(&site, "r1").await;
        for engine in &site.prefills {
            engine.stall_gate.stall();
        }
        lost.set_fault(EngineFault::CutAfter(0));
        assert!(caller.read_rest().await, "it was cut after {:?}", caller.events());
        assert_eq!(caller.events(), all_events());
    });
}
