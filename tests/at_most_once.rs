//! Calls that must run at most once, while the store, the service or hosts fail.

mod common;

use common::{CALL_TIMEOUT, LocalFleet, wait_until};
use tealcleat::bench::{CallResult, FaultKind, http_call};

#[test]
fn concurrent_retries_run_once() {
    let fleet = LocalFleet::start();
    let caller = fleet.caller();
    let addresses: Vec<_> = fleet.daemons.iter().map(|daemon| daemon.callers).collect();
    for round in 0..5 {
        let (key, body) = (format!("key-{round}"), format!("{{\"crew\":{round}}}"));
        let header = ("idempotency-key", key.as_str());
        let (one, two, three) = fleet.runtime.block_on(async {
            tokio::join!(
                caller.call_once(addresses[0], "hanbit", header, &body, CALL_TIMEOUT),
                caller.call_once(addresses[1], "hanbit", header, &body, CALL_TIMEOUT),
                caller.call_once(addresses[2], "hanbit", header, &body, CALL_TIMEOUT)
            )
        });
        let results = [one.0, two.0, three.0];
        let answers = results.iter().filter(|result| **result == CallResult::Complete).count();
        assert_eq!(answers, 1, "{results:?}");
        assert!(!results.contains(&CallResult::NotRun), "{results:?}");
        assert_eq!(fleet.runs_of(&body), 1);
    }
}

#[test]
fn retry_after_answer_is_already_answered() {
    let fleet = LocalFleet::start();
    assert_eq!(fleet.book(0, "k", "{\"a\":1}").0, CallResult::Complete);
    for host_index in 0..3 {
        let (result, text) = fleet.book(host_index, "k", "{\"a\":1}");
        assert_eq!(result, CallResult::AnsweredElsewhere, "{text}");
        assert!(text.contains("already_answered"), "{text}");
    }
    assert_eq!(fleet.runs_of("{\"a\":1}"), 1);
}

#[test]
fn same_key_with_another_body_is_refused() {
    let fleet = LocalFleet::start();
    assert_eq!(fleet.book(0, "k", "{\"a\":1}").0, CallResult::Complete);
    for host_index in 0..3 {
        let (_, text) = fleet.book(host_index, "k", "{\"a\":2}");
        assert!(text.contains("key_reused"), "{text}");
    }
    assert_eq!(fleet.runs_of("{\"a\":2}"), 0);
}

#[test]
fn same_key_of_another_organisation_is_independent() {
    let fleet = LocalFleet::start();
    let caller = fleet.caller();
    let header = ("idempotency-key", "k");
    for (org, body) in [("hanbit", "{\"o\":1}"), ("moonpanel", "{\"o\":2}")] {
        let address = fleet.daemons[0].callers;
        let booked =
            fleet.runtime.block_on(caller.call_once(address, org, header, body, CALL_TIMEOUT));
        assert_eq!(booked.0, CallResult::Complete, "{}", booked.1);
    }
}

#[test]
fn answer_after_caller_left_goes_to_retry() {
    let fleet = LocalFleet::start();
    let caller = fleet.caller();
    let address = fleet.daemons[0].callers;
    let (header, body) = (("idempotency-key", "gone"), "{\"left\":1}");
    fleet.fault("reader-app", FaultKind::Freeze, true);
    let short = std::time::Duration::from_millis(400);
    let left = fleet.runtime.block_on(caller.call_once(address, "hanbit", header, body, short));
    assert_eq!(left.0, CallResult::Disconnected);
    let (result, text) = fleet.book(1, "gone", body);
    assert!(
        result == CallResult::AnsweredElsewhere && text.contains("in_progress"),
        "{result:?} {text}"
    );
    fleet.fault("reader-app", FaultKind::Freeze, false);
    wait_until("the call to run", || fleet.runs_of(body) == 1);
    wait_until("the kept answer to be returned", || {
        fleet.book(2, "gone", body).0 == CallResult::Complete
    });
    assert_eq!(fleet.book(0, "gone", body).0, CallResult::AnsweredElsewhere);
    assert_eq!(fleet.runs_of(body), 1);
}

#[test]
fn lost_service_answer_stays_unknown() {
    let fleet = LocalFleet::start();
    fleet.fault("reader-app", FaultKind::LoseService, true);
    assert_eq!(fleet.book(0, "lost", "{\"l\":1}").0, CallResult::Unknown);
    fleet.fault("reader-app", FaultKind::LoseService, false);
    for host_index in 0..3 {
        assert_eq!(fleet.book(host_index, "lost", "{\"l\":1}").0, CallResult::Unknown);
    }
    assert_eq!(fleet.runs_of("{\"l\":1}"), 1);
}

#[test]
fn store_outage_is_unknown_and_never_not_run() {
    let fleet = LocalFleet::start();
    assert_eq!(fleet.book(0, "before", "{\"b\":1}").0, CallResult::Complete);
    fleet.fault("platform", FaultKind::Outage, true);
    // This call ran before the outage, so no host may report it as "not run".
    let (result, text) = fleet.book(2, "before", "{\"b\":1}");
    assert!(matches!(result, CallResult::Unknown | CallResult::AnsweredElsewhere), "{text}");
    let (result, text) = fleet.book(0, "during", "{\"d\":1}");
    assert_eq!(result, CallResult::Unknown, "{text}");
    assert!(text.contains("store_away"), "{text}");
    assert_eq!(fleet.runs_of("{\"d\":1}"), 0);
    fleet.fault("platform", FaultKind::Outage, false);
    wait_until("the store to return", || {
        fleet.book(1, "during", "{\"d\":1}").0 == CallResult::Complete
    });
    assert_eq!(fleet.runs_of("{\"d\":1}"), 1);
}

#[test]
fn lost_store_answer_runs_once() {
    let fleet = LocalFleet::start();
    fleet.fault("platform", FaultKind::LoseAnswers, true);
    let (result, text) = fleet.book(0, "k", "{\"s\":1}");
    // The write took effect; reading the bucket back shows which attempt holds the claim.
    assert_eq!(result, CallResult::Complete, "{text}");
    fleet.fault("platform", FaultKind::LoseAnswers, false);
    assert_eq!(fleet.book(2, "k", "{\"s\":1}").0, CallResult::AnsweredElsewhere);
    assert_eq!(fleet.runs_of("{\"s\":1}"), 1);
}

#[test]
fn unreachable_service_is_not_run_and_retryable() {
    let fleet = LocalFleet::start();
    let version = fleet.confirm(
        0,
        r#"{"kind":"intent","operator":"ann","services":[{"name":"gone-app",
            "addresses":["127.0.0.1:1"],"once_paths":["/do"]}]}"#,
    );
    fleet.wait_ready(version);
    let url =
        |host_index: usize| format!("http://{}/s/gone-app/do", fleet.daemons[host_index].callers);
    let headers = [
        ("tealcleat-organisation", "hanbit"),
        ("tealcleat-class", "interactive"),
        ("idempotency-key", "k"),
    ];
    for host_index in [0, 1, 2, 0] {
        let (status, text) =
            http_call("POST", &url(host_index), &headers, "{}").expect("an answer");
        assert_eq!(status, 503, "{text}");
        assert!(text.contains("not_run") && text.contains("service_unreachable"), "{text}");
    }
}

fn ticket(fleet: &LocalFleet, host_index: usize) -> String {
    let url = format!("http://{}/v1/tickets", fleet.daemons[host_index].callers);
    let (status, text) = http_call("POST", &url, &[], "").expect("an answer");
    assert_eq!(status, 200, "{text}");
    let value: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    value["ticket"].as_str().expect("a ticket").to_owned()
}

#[test]
fn ticket_during_store_outage_runs_once() {
    let fleet = LocalFleet::start();
    fleet.fault("platform", FaultKind::Outage, true);
    let ticket = ticket(&fleet, 0);
    let caller = fleet.caller();
    let header = ("tealcleat-ticket", ticket.as_str());
    // The ticket reaches another host, in another domain, as behind a load balancer.
    let book = |host_index: usize, body: &'static str| {
        let address = fleet.daemons[host_index].callers;
        fleet.runtime.block_on(caller.call_once(address, "hanbit", header, body, CALL_TIMEOUT))
    };
    assert_eq!(book(2, "{\"t\":1}").0, CallResult::Complete);
    assert_eq!(book(0, "{\"t\":1}").0, CallResult::AnsweredElsewhere);
    assert!(book(1, "{\"t\":2}").1.contains("key_reused"));
    assert_eq!((fleet.runs_of("{\"t\":1}"), fleet.runs_of("{\"t\":2}")), (1, 0));
}

#[test]
fn drain_waits_for_booking() {
    let fleet = LocalFleet::start();
    fleet.fault("reader-app", FaultKind::Freeze, true);
    let (caller, address) = (fleet.caller(), fleet.daemons[0].callers);
    let booking = fleet.runtime.spawn(async move {
        let header = ("idempotency-key", "stop");
        caller.call_once(address, "hanbit", header, "{\"stop\":1}", CALL_TIMEOUT).await
    });
    wait_until("the booking to start", || fleet.host(0).status().in_flight > 0);
    fleet.host(0).begin_drain();
    let host = std::sync::Arc::clone(fleet.host(0));
    let drained = fleet.runtime.spawn(async move { host.finish_drain().await });
    std::thread::sleep(std::time::Duration::from_millis(600));
    assert!(!drained.is_finished(), "the stop did not wait for the booking");
    fleet.fault("reader-app", FaultKind::Freeze, false);
    assert_eq!(fleet.runtime.block_on(booking).expect("it ends").0, CallResult::Complete);
    assert!(fleet.runtime.block_on(drained).expect("it ends"));
}

#[test]
fn ticket_of_unknown_holder_is_unknown() {
    let fleet = LocalFleet::start();
    let caller = fleet.caller();
    let header = ("tealcleat-ticket", "ticket-00000000000000ff-00000000000000ff");
    let address = fleet.daemons[0].callers;
    let booked =
        fleet.runtime.block_on(caller.call_once(address, "hanbit", header, "{}", CALL_TIMEOUT));
    assert_eq!(booked.0, CallResult::Unknown, "{}", booked.1);
}
