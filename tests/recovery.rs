//! Streams, cancellations and shutdowns while engines and hosts fail.

mod common;

use common::{CALL_TIMEOUT, LocalFleet, assert_whole, wait_until};
use std::time::Duration;
use tealcleat::bench::{CallResult, FaultKind};

const LONG_PROMPT: &str = "a recap that streams while its engine fails";

/// Streams a completion in the background, injects `fault` after some tokens, and returns what the
/// caller received.
fn stream_during(
    fleet: &LocalFleet,
    prompt: &'static str,
    fault: impl FnOnce(),
) -> tealcleat::bench::Completion {
    let caller = fleet.caller();
    let address = fleet.daemons[0].callers;
    let running = fleet
        .runtime
        .spawn(async move { caller.complete(address, "hanbit", prompt, CALL_TIMEOUT, None).await });
    let has_started =
        || fleet.set.stats().held.iter().any(|(name, held)| name.contains("decode") && *held > 0);
    // A caller that was refused waits for nothing more; the answer tells why.
    wait_until("the stream to start or its caller to end", || {
        has_started() || running.is_finished()
    });
    if running.is_finished() {
        panic!("the caller ended first: {:?}", fleet.runtime.block_on(running));
    }
    // Long enough for some tokens to be sent.
    std::thread::sleep(Duration::from_millis(150));
    fault();
    fleet.runtime.block_on(running).expect("the caller ends")
}

fn decode_names(fleet: &LocalFleet) -> Vec<String> {
    let engines = fleet.deployment.standins().engines;
    engines.into_iter().map(|engine| engine.name).filter(|name| name.contains("decode")).collect()
}

#[test]
fn cut_stream_resumes_at_next_token() {
    let fleet = LocalFleet::start();
    let names = decode_names(&fleet);
    let completion = stream_during(&fleet, LONG_PROMPT, || {
        names.iter().for_each(|name| fleet.fault(name, FaultKind::CutStreams, true));
    });
    assert_whole(&completion, LONG_PROMPT);
    assert!(fleet.host(0).metrics().counter("resumes") > 0);
    fleet.wait_empty();
}

#[test]
fn crashed_decode_fails_over_at_next_token() {
    let fleet = LocalFleet::start();
    let names = decode_names(&fleet);
    let completion = stream_during(&fleet, LONG_PROMPT, || {
        names.iter().for_each(|name| fleet.fault(name, FaultKind::Crash, true));
    });
    assert_whole(&completion, LONG_PROMPT);
    assert!(fleet.host(0).metrics().counter("retries") > 0);
    fleet.wait_empty();
}

#[test]
fn frozen_decode_fails_over() {
    let fleet = LocalFleet::start();
    let busy = |fleet: &LocalFleet| {
        let held = fleet.set.stats().held;
        held.into_iter().find(|(name, held)| name.contains("decode") && *held > 0)
    };
    let mut frozen = None;
    let completion = stream_during(&fleet, LONG_PROMPT, || {
        frozen = busy(&fleet).map(|(name, _)| name);
        fleet.fault(frozen.as_deref().expect("one decodes"), FaultKind::Freeze, true);
    });
    assert_whole(&completion, LONG_PROMPT);
    fleet.fault(frozen.as_deref().expect("one decoded"), FaultKind::Freeze, false);
    fleet.wait_empty();
}

#[test]
fn leaving_caller_releases_engines() {
    let fleet = LocalFleet::start();
    let caller = fleet.caller();
    let address = fleet.daemons[0].callers;
    for leave_after in [1, 5] {
        let completion = fleet.runtime.block_on(caller.complete(
            address,
            "hanbit",
            "left early",
            CALL_TIMEOUT,
            Some(leave_after),
        ));
        assert_eq!(completion.result, CallResult::Disconnected);
    }
    // One caller leaves while nothing is sent to it, since its prefill waits on a frozen engine.
    for name in ["gasan-prefill-1", "pangyo-prefill-1"] {
        fleet.fault(name, FaultKind::Freeze, true);
    }
    let short = Duration::from_millis(200);
    let completion =
        fleet.runtime.block_on(caller.complete(address, "hanbit", "silence", short, None));
    assert_eq!(completion.result, CallResult::Disconnected);
    for name in ["gasan-prefill-1", "pangyo-prefill-1"] {
        fleet.fault(name, FaultKind::Freeze, false);
    }
    fleet.wait_empty();
}

#[test]
fn stalled_link_is_whole_or_unknown() {
    let fleet = LocalFleet::start();
    fleet.fault("gasan-decode-1", FaultKind::LinkStall, true);
    for round in 0..6 {
        let prompt = format!("handoff {round}");
        let completion = fleet.complete(round % 3, &prompt);
        if completion.result == CallResult::Complete {
            assert_whole(&completion, &prompt);
        } else {
            // Its prefill ran, so the outcome must not be "not run".
            assert_eq!(completion.result, CallResult::Unknown, "{}", completion.reason);
        }
    }
    fleet.fault("gasan-decode-1", FaultKind::LinkStall, false);
    fleet.wait_empty();
}

#[test]
fn drain_waits_for_streams() {
    let fleet = LocalFleet::start();
    let completion = stream_during(&fleet, LONG_PROMPT, || fleet.host(0).begin_drain());
    assert_whole(&completion, LONG_PROMPT);
    assert!(fleet.runtime.block_on(fleet.host(0).finish_drain()));
    let refused = fleet.complete(0, "after the drain");
    assert_eq!((refused.result, refused.reason.as_str()), (CallResult::NotRun, "draining"));
    // The other host of the domain acquired its ledgers.
    wait_until("the ledgers to move", || {
        let status = fleet.host(1).status();
        status.servers.iter().filter(|server| server.ready).count() == 2
    });
    assert_whole(&fleet.complete(1, "served by the others"), "served by the others");
}

#[test]
fn leaving_server_gets_no_new_work() {
    let fleet = LocalFleet::start();
    let version = fleet.confirm(
        1,
        r#"{"kind":"intent","operator":"ann","leave":["gasan-prefill-1","gasan-decode-1"]}"#,
    );
    wait_until("all hosts to adopt the version", || {
        fleet.daemons.iter().all(|daemon| daemon.host.config().version >= version)
    });
    let before = fleet.set.stats().prefills.len();
    for round in 0..6 {
        let prompt = format!("elsewhere {round}");
        assert_whole(&fleet.complete(round % 3, &prompt), &prompt);
    }
    let stats = fleet.set.stats();
    assert_eq!(stats.prefills.len(), before + 6);
    assert_eq!(stats.held["gasan-decode-1"], 0);
    // The engine itself received the drain order, with the configuration's version as the fence.
    wait_until("the drain order to arrive", || fleet.set.is_draining("gasan-prefill-1"));
}

#[test]
fn new_version_serves_once_its_weights_are_loaded() {
    let fleet = LocalFleet::start();
    fleet.fault("weights", FaultKind::Freeze, true);
    let version = fleet.confirm(
        0,
        r#"{"kind":"intent","operator":"ann","models":[{"name":"inkmind","version":"2",
            "adapters":["plain"],"kv_bytes_per_token":200000}]}"#,
    );
    wait_until("all hosts to adopt the version", || {
        fleet.daemons.iter().all(|daemon| daemon.host.config().version >= version)
    });
    // No server has loaded the new version yet, and the old version must not answer instead.
    let completion = fleet.complete(0, "too early");
    assert_eq!(
        (completion.result, completion.tokens.len()),
        (CallResult::NotRun, 0),
        "{}",
        completion.reason
    );
    fleet.fault("weights", FaultKind::Freeze, false);
    wait_until("the new version to serve", || {
        fleet.complete(0, "loaded").result == CallResult::Complete
    });
}

#[test]
fn role_change_drains_first_and_serves_again() {
    let fleet = LocalFleet::start();
    let version = fleet.confirm(
        0,
        r#"{"kind":"intent","operator":"ann","role":[{"server":"gasan-decode-1","role":"prefill"}]}"#,
    );
    wait_until("the role to change", || {
        fleet.daemons.iter().all(|daemon| daemon.host.config().version >= version)
            && fleet.set.is_prefill("gasan-decode-1")
    });
    assert_whole(&fleet.complete(0, "with one decode server"), "with one decode server");
}
