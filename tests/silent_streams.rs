//! Streams whose server falls silent and goes on: the answer is never ended for the silence alone.

use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;
use tealcleat::bench::site::{EngineFault, SitePlan, TestSite, config};

mod silent_common;
mod site_common;

use silent_common::{
    SILENCE, StreamCaller, all_events, is_closed, slow_site, wait_counted, wait_running,
};
use site_common::runtime;

/// Guards against an answer that is cut although its server lives: the server stood still for two seconds, the run was
/// closed as lost, and no other server could go on with it.
#[test]
fn stream_goes_on_after_its_only_server_was_silent() {
    runtime().block_on(async {
        let site = slow_site(SitePlan { decodes: 1, ..SitePlan::default() }).await;
        let mut caller = StreamCaller::send(site.hosts[0].callers, "r1").await;
        caller.read_event(2).await;
        site.decodes[0].stall_gate.stall();
        tokio::time::sleep(SILENCE).await;
        site.decodes[0].stall_gate.release();
        assert!(caller.read_rest().await, "it was cut after {:?}", caller.events());
        assert_eq!(caller.events(), all_events());
    });
}

/// Guards against events that are told twice or left out where all servers stand still and go on together, more than once.
#[rstest]
#[case::a_second_twice(1000, 2)]
#[case::two_seconds_twice(2000, 2)]
#[case::longer_than_the_further_run_waits(3200, 1)]
fn stream_goes_on_after_all_servers_were_silent(#[case] silence_ms: u64, #[case] times: u64) {
    runtime().block_on(async {
        let site = slow_site(SitePlan::default()).await;
        let mut caller = StreamCaller::send(site.hosts[0].callers, "r1").await;
        for time in 0..times {
            caller.read_event(1 + 2 * time).await;
            for engine in site.prefills.iter().chain(&site.decodes) {
                engine.stall_gate.stall();
            }
            tokio::time::sleep(Duration::from_millis(silence_ms)).await;
            for engine in site.prefills.iter().chain(&site.decodes) {
                engine.stall_gate.release();
            }
        }
        assert!(caller.read_rest().await, "it was cut after {:?}", caller.events());
        assert_eq!(caller.events(), all_events());
    });
}

/// Guards against a caller that waits for a server that never goes on while another one could serve it, and against two
/// servers that go on working on one request.
#[test]
fn stream_of_a_server_that_stays_silent_goes_on_elsewhere() {
    runtime().block_on(async {
        let site = slow_site(SitePlan::default()).await;
        let mut caller = StreamCaller::send(site.hosts[0].callers, "r1").await;
        caller.read_event(2).await;
        let (silent, other) = wait_running(&site, "r1").await;
        silent.stall_gate.stall();
        assert!(caller.read_rest().await, "it was cut after {:?}", caller.events());
        assert_eq!(caller.events(), all_events());
        assert_eq!(other.runs().len(), 1);
        silent.stall_gate.release();
        while !is_closed(&silent) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    });
}

/// Guards against the loss of both runs: the further run is silent as well. Both are kept, and the first one goes on.
#[test]
fn stream_keeps_its_run_beside_a_further_silent_one() {
    runtime().block_on(async {
        let site = slow_site(SitePlan::default()).await;
        let mut caller = StreamCaller::send(site.hosts[0].callers, "r1").await;
        caller.read_event(2).await;
        let (silent, other) = wait_running(&site, "r1").await;
        other.set_fault(EngineFault::StallAfter(0));
        silent.stall_gate.stall();
        wait_counted(&site, "further_runs_begun", 1).await;
        silent.stall_gate.release();
        assert!(caller.read_rest().await, "it was cut after {:?}", caller.events());
        assert_eq!(caller.events(), all_events());
        assert!(!is_closed(&silent));
        while !is_closed(&other) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    });
}

/// Guards against a cut where the route allows no further server: the second run falls silent too.
#[test]
fn stream_without_attempts_left_waits_for_its_silent_run() {
    runtime().block_on(async {
        let site = slow_site(SitePlan::default()).await;
        let mut caller = StreamCaller::send(site.hosts[0].callers, "r1").await;
        caller.read_event(1).await;
        let (first, second) = wait_running(&site, "r1").await;
        first.stall_gate.stall();
        caller.read_event(3).await;
        second.stall_gate.stall();
        wait_counted(&site, "silent_runs_kept", 1).await;
        first.stall_gate.release();
        second.stall_gate.release();
        assert!(caller.read_rest().await, "it was cut after {:?}", caller.events());
        assert_eq!(caller.events(), all_events());
        assert_eq!((first.runs().len(), second.runs().len()), (1, 1));
    });
}

/// Guards against a cut where the retry budget is spent; nothing is sent beyond it.
#[test]
fn stream_without_retry_budget_waits_for_its_silent_run() {
    runtime().block_on(async {
        let plan = SitePlan { hosts: 0, ..SitePlan::default() };
        let mut site = slow_site(plan).await;
        site.add_host_with(|settings| {
            settings.bounds.retries.ratio = 0.0;
            settings.bounds.retries.slack = 0.0;
        })
        .await
        .expect("a host");
        site.wait_ready().await;
        let mut caller = StreamCaller::send(site.hosts[0].callers, "r1").await;
        caller.read_event(2).await;
        let (silent, other) = wait_running(&site, "r1").await;
        silent.stall_gate.stall();
        wait_counted(&site, "repeats_denied", 1).await;
        silent.stall_gate.release();
        assert!(caller.read_rest().await, "it was cut after {:?}", caller.events());
        assert_eq!(caller.events(), all_events());
        assert!(other.runs().is_empty());
        assert_eq!(site.hosts[0].host.metrics().counter("sends_uncounted"), 0);
    });
}

/// Guards against a cut where the silent server dies after all: its run is lost, and the stream goes on elsewhere.
#[test]
fn stream_of_a_silent_server_that_dies_goes_on_elsewhere() {
    runtime().block_on(async {
        let site = slow_site(SitePlan::default()).await;
        let mut caller = StreamCaller::send(site.hosts[0].callers, "r1").await;
        caller.read_event(2).await;
        let (silent, other) = wait_running(&site, "r1").await;
        other.set_fault(EngineFault::Full);
        silent.stall_gate.stall();
        wait_counted(&site, "silent_runs_kept", 1).await;
        silent.set_fault(EngineFault::CutAfter(0));
        silent.stall_gate.release();
        wait_counted(&site, "silent_runs_lost", 1).await;
        other.set_fault(EngineFault::None);
        assert!(caller.read_rest().await, "it was cut after {:?}", caller.events());
        assert_eq!(caller.events(), all_events());
        assert_eq!(other.runs().len(), 1);
    });
}

/// Sends a request whose decode server stands still from the moment at which it has granted memory; returns that server's
/// place. The other decode servers stand still too.
async fn send_before_silence(site: &TestSite, id: &str) -> (StreamCaller, usize) {
    for engine in &site.prefills {
        // The decode server reads the prompt itself: what a prefill server had read would have lapsed when it goes on.
        engine.set_fault(EngineFault::LoseReads);
        engine.stall_gate.stall();
    }
    let caller = StreamCaller::send(site.hosts[0].callers, id).await;
    let holder = || site.decodes.iter().position(|engine| engine.open_holds() > 0);
    let place = loop {
        if let Some(place) = holder() {
            break place;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    };
    for engine in &site.decodes {
        engine.stall_gate.stall();
    }
    for engine in &site.prefills {
        engine.stall_gate.release();
    }
    (caller, place)
}

/// Guards against a request that is given up before its first event: no server answered for two seconds, and the caller was
/// told that the outcome is unknown.
#[rstest]
#[case::one_decode_server(1)]
#[case::two_decode_servers(2)]
fn stream_silent_before_its_first_event_goes_on(#[case] decodes: usize) {
    runtime().block_on(async {
        let site = slow_site(SitePlan { decodes, ..SitePlan::default() }).await;
        let (mut caller, _) = send_before_silence(&site, "r1").await;
        wait_counted(&site, "silent_runs", 1).await;
        tokio::time::sleep(Duration::from_millis(500)).await;
        for engine in &site.decodes {
            engine.stall_gate.release();
        }
        assert!(caller.read_rest().await, "it was cut after {:?}", caller.events());
        assert_eq!((caller.status(), caller.events()), ("200", all_events()));
    });
}

/// Guards against a caller that waits for the first event of a server that never goes on while another one could serve it.
#[test]
fn stream_silent_before_its_first_event_begins_elsewhere() {
    runtime().block_on(async {
        let site = slow_site(SitePlan::default()).await;
        let (mut caller, silent) = send_before_silence(&site, "r1").await;
        wait_counted(&site, "silent_runs", 1).await;
        site.decodes[1 - silent].stall_gate.release();
        assert!(caller.read_rest().await, "it was cut after {:?}", caller.events());
        assert_eq!((caller.status(), caller.events()), ("200", all_events()));
        assert_eq!(site.decodes[1 - silent].runs().len(), 1);
    });
}

/// Guards against a cut where the host stops while the server is silent: silence gives a stopping host no reason to end an
/// answer within its grace period.
#[test]
fn silent_stream_of_a_stopping_host_goes_on() {
    runtime().block_on(async {
        let site = slow_site(SitePlan { decodes: 1, ..SitePlan::default() }).await;
        let mut caller = StreamCaller::send(site.hosts[0].callers, "r1").await;
        caller.read_event(2).await;
        site.decodes[0].stall_gate.stall();
        let host = Arc::clone(&site.hosts[0].host);
        let stopping = tokio::spawn(async move { host.stop_gracefully().await });
        tokio::time::sleep(SILENCE).await;
        site.decodes[0].stall_gate.release();
        assert!(caller.read_rest().await, "it was cut after {:?}", caller.events());
        assert_eq!(caller.events(), all_events());
        stopping.await.expect("it ends");
    });
}

/// Guards against a cut where the configuration changes while the server is silent.
#[test]
fn silent_stream_beside_a_change_of_configuration_goes_on() {
    runtime().block_on(async {
        let site = slow_site(SitePlan { decodes: 1, ..SitePlan::default() }).await;
        let mut caller = StreamCaller::send(site.hosts[0].callers, "r1").await;
        caller.read_event(2).await;
        site.decodes[0].stall_gate.stall();
        let mut changed = config(2);
        changed["routes"][1]["attempts"] = serde_json::json!(1);
        changed["routes"][1]["timeout_ms"] = serde_json::json!(1000);
        site.set_config(2, &changed);
        tokio::time::sleep(SILENCE).await;
        site.decodes[0].stall_gate.release();
        assert!(caller.read_rest().await, "it was cut after {:?}", caller.events());
        assert_eq!(caller.events(), all_events());
        assert_eq!(site.hosts[0].host.state().routes.version(), 2);
    });
}
