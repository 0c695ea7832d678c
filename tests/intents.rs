//! Intents, plans and confirmations, with races, lost answers and outages.

mod common;

use common::{LocalFleet, wait_until};
use tealcleat::bench::{CallResult, Completion, FaultKind};
use tealcleat::host::OperatorReply;

fn admit(operator: &str, name: &str) -> String {
    format!(r#"{{"kind":"intent","operator":"{operator}","organisations":[{{"name":"{name}"}}]}}"#)
}

#[test]
fn racing_operators_one_wins_and_the_other_hears_why() {
    let fleet = LocalFleet::start();
    let (ann, bo) = (admit("ann", "first"), admit("bo", "second"));
    let (ann_plan, bo_plan) = (fleet.plan(0, &ann), fleet.plan(2, &bo));
    assert!(matches!(fleet.confirm_plan(0, &ann, &ann_plan), OperatorReply::Confirmed(2)));
    let OperatorReply::Stale(changes) = fleet.confirm_plan(2, &bo, &bo_plan) else {
        panic!("a stale plan was confirmed");
    };
    assert_eq!(changes, ["v2 by ann: admit organisation first"]);
}

#[test]
fn lost_answer_of_a_confirmation_is_read_back() {
    let fleet = LocalFleet::start();
    let intent = admit("ann", "late");
    let plan = fleet.plan(0, &intent);
    fleet.fault("platform", FaultKind::LoseAnswers, true);
    let answer = fleet.confirm_plan(0, &intent, &plan);
    assert!(matches!(answer, OperatorReply::Confirmed(2)), "{answer:?}");
    fleet.fault("platform", FaultKind::LoseAnswers, false);
    fleet.wait_ready(2);
    assert_eq!(fleet.host(1).config().history.len(), 2, "it was confirmed once");
}

#[test]
fn outage_settles_nothing_and_reverts_nothing() {
    let fleet = LocalFleet::start();
    let intent = admit("ann", "later");
    let plan = fleet.plan(0, &intent);
    fleet.fault("platform", FaultKind::Outage, true);
    let answer = fleet.confirm_plan(0, &intent, &plan);
    assert!(matches!(answer, OperatorReply::Unsettled(_)), "{answer:?}");
    assert!(fleet.daemons.iter().all(|daemon| daemon.host.config().version == 1));
    fleet.fault("platform", FaultKind::Outage, false);
    wait_until("the store's return", || {
        matches!(fleet.confirm_plan(0, &intent, &plan), OperatorReply::Confirmed(2))
    });
    fleet.wait_ready(2);
}

#[test]
fn fresh_host_without_the_store_asks_its_neighbours() {
    let mut fleet = LocalFleet::start();
    fleet.fault("platform", FaultKind::Outage, true);
    fleet.add_host("pangyo-2", "pangyo");
    let fresh = fleet.daemons.len() - 1;
    wait_until("its readiness", || fleet.host(fresh).is_ready());
    assert_eq!(fleet.host(fresh).config().version, 1);
    // It takes over books of servers, which are rebuilt for a moment: a request in that moment is told
    // so, and to come back. Every other end but a whole answer fails.
    let mut seen = fleet.complete(fresh, "by the fresh host");
    wait_until("its books", || {
        if seen_rebuilding(&seen) {
            seen = fleet.complete(fresh, "by the fresh host");
        }
        !seen_rebuilding(&seen)
    });
    common::assert_whole(&seen, "by the fresh host");
}

fn seen_rebuilding(seen: &Completion) -> bool {
    seen.result == CallResult::NotRun && seen.reason == "rebuilding"
}

#[test]
fn contradictions_are_reported_together() {
    let fleet = LocalFleet::start();
    let intent = r#"{"kind":"intent","operator":"ann","leave":["nobody","gasan-decode-1"],
        "role":[{"server":"gasan-decode-1","role":"decode"}]}"#;
    let OperatorReply::Findings(findings) = fleet.host(0).plan(intent) else {
        panic!("contradictions were planned");
    };
    assert_eq!(
        findings,
        [
            "leave: no server \"nobody\"",
            "leave: server \"gasan-decode-1\" is also to change role",
            "role: server \"gasan-decode-1\" has the role decode already",
        ]
    );
}

#[test]
fn plan_names_weights_waits_and_missing_servers() {
    let fleet = LocalFleet::start();
    let intent = r#"{"kind":"intent","operator":"ann",
        "models":[{"name":"inkmind","version":"2","weight_bytes":4000000000,
            "kv_bytes_per_token":200000,"adapters":["plain"]}],
        "leave":["gasan-decode-1","pangyo-decode-1"]}"#;
    let plan = fleet.plan(0, intent);
    assert_eq!(plan.steps[0].text, "move model inkmind from version 1 to 2");
    assert!((plan.steps[0].weight_store_seconds - 8.0).abs() < 1e-9);
    assert!(plan.warnings.contains(&"model inkmind will have no decode server".to_owned()));
}
