//! Intents, plans and confirmations, with concurrent operators, lost answers and store outages.

mod common;

use common::{LocalFleet, wait_until};
use std::net::TcpListener;
use tealcleat::bench::{CallResult, Completion, FaultKind};
use tealcleat::host::{HostState, OperatorReply, start_daemon};

fn admit(operator: &str, name: &str) -> String {
    format!(r#"{{"kind":"intent","operator":"{operator}","organisations":[{{"name":"{name}"}}]}}"#)
}

#[test]
fn racing_confirmations_one_wins_and_other_is_stale() {
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
fn confirmation_with_lost_answer_is_read_back() {
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
fn confirmation_during_outage_is_unsettled_and_reverts_nothing() {
    let fleet = LocalFleet::start();
    let intent = admit("ann", "later");
    let plan = fleet.plan(0, &intent);
    fleet.fault("platform", FaultKind::Outage, true);
    let answer = fleet.confirm_plan(0, &intent, &plan);
    assert!(matches!(answer, OperatorReply::Unsettled(_)), "{answer:?}");
    assert!(fleet.daemons.iter().all(|daemon| daemon.host.config().version == 1));
    fleet.fault("platform", FaultKind::Outage, false);
    wait_until("the store to return", || {
        matches!(fleet.confirm_plan(0, &intent, &plan), OperatorReply::Confirmed(2))
    });
    fleet.wait_ready(2);
}

#[test]
fn new_host_during_store_outage_fetches_config_from_peers() {
    let mut fleet = LocalFleet::start();
    fleet.fault("platform", FaultKind::Outage, true);
    fleet.add_host("pangyo-2", "pangyo");
    let new_host = fleet.daemons.len() - 1;
    wait_until("the new host to become ready", || fleet.host(new_host).is_ready());
    assert_eq!(fleet.host(new_host).config().version, 1);
    // The new host acquires server ledgers and has to rebuild them. A request during that time is
    // rejected as `rebuilding` and retried; any other outcome than a whole answer fails the test.
    let mut completion = fleet.complete(new_host, "by the fresh host");
    wait_until("its ledgers to be rebuilt", || {
        if is_rebuilding(&completion) {
            completion = fleet.complete(new_host, "by the fresh host");
        }
        !is_rebuilding(&completion)
    });
    common::assert_whole(&completion, "by the fresh host");
}

/// Guards against requests that are refused as `not_owner` because their host reported ready before it had acquired its
/// ledgers.
#[test]
fn host_is_ready_only_with_its_ledgers() {
    let fleet = LocalFleet::unconfigured();
    fleet.confirm(0, &fleet.deployment.intent(&fleet.addresses));
    // The only host of its domain owns all servers there.
    let host = fleet.host(2);
    spin_until_ready(host);
    let (status, config) = (host.status(), host.config());
    let owned: Vec<&str> = status.servers.iter().map(|server| server.name.as_str()).collect();
    let mut in_domain: Vec<&str> = config
        .servers
        .iter()
        .filter(|server| server.domain_key() == host.domain())
        .map(|server| server.name.as_str())
        .collect();
    in_domain.sort_unstable();
    assert!(!in_domain.is_empty());
    assert_eq!(owned, in_domain);
}

/// Guards against requests that are refused because their host knew the configuration, but no host of another domain
/// yet. The seed that does not answer delays the join, not the configuration.
#[test]
fn host_is_ready_only_with_other_hosts() {
    let fleet = LocalFleet::start();
    fleet.fault("platform", FaultKind::Outage, true);
    let silent = TcpListener::bind("127.0.0.1:0").expect("a port");
    let seeds = vec![silent.local_addr().expect("an address"), fleet.daemons[0].peers];
    let settings = common::settings("pangyo-2", "pangyo", fleet.addresses.platform, seeds);
    let daemon = fleet.runtime.block_on(start_daemon(settings)).expect("the daemon starts");
    spin_until_ready(&daemon.host);
    assert!(daemon.host.status().members.iter().any(|member| !member.same_domain));
}

/// Waits without sleeping, so that the test observes the host in the moment in which it becomes ready.
fn spin_until_ready(host: &HostState) {
    while !host.is_ready() {
        std::thread::yield_now();
    }
}

fn is_rebuilding(completion: &Completion) -> bool {
    completion.result == CallResult::NotRun && completion.reason == "rebuilding"
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
fn plan_states_load_times_and_missing_servers() {
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
