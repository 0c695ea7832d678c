//! Servers that have just started have a lower limit for some seconds: how entries and the configuration state it, how
//! hosts pass it on, and how much all of them together send.

use rstest::rstest;
use serde_json::json;
use std::time::Duration;
use tealcleat::fleet::{FleetChange, FleetView, ServerEntry, ServerState};
use tealcleat::keys::{IncarnationId, NameKey, ServerKey, TimePoint};
use tealcleat::organisations::KeyHasher;
use tealcleat::platform::{StoreObject, decode_config, decode_server};
use tealcleat::server_limits::{CallRank, PermitDecision, PermitPurpose, SendControl, ServerLimit};

mod limit_common;

use limit_common::{at, limit};

const COLD_MS: u32 = 3_000;

fn server(id: &str, cold_ms: u32) -> ServerEntry {
    ServerEntry {
        id: id.to_owned(),
        started_at: Some(7),
        version: "v1".to_owned(),
        service: NameKey::of("app"),
        address: "127.0.0.1:1".parse().expect("an address"),
        domain: NameKey::of("a"),
        state: ServerState::Ready,
        stage: None,
        slots: 4,
        cold_ms,
    }
}

fn cold_ids(view: &FleetView, now: TimePoint) -> Vec<&str> {
    view.cold(now).map(|(entry, _)| entry.id.as_str()).collect()
}

#[rstest]
#[case::warm(json!(0), 0)]
#[case::cold(json!(2_950.5), 2_950)]
#[case::negative(json!(-3.0), 0)]
fn entry_states_cold_time(#[case] left: serde_json::Value, #[case] expected: u32) {
    let spec = json!({"service": "app", "address": "127.0.0.1:1", "zone": "a", "version": "v1",
        "slots": 4, "state": "ready", "cold_left_ms": left, "seq": 0});
    let object = StoreObject { name: "i-1".to_owned(), revision: 7, deleting: false, spec };
    assert_eq!(decode_server(&object).expect("a server").cold_ms, expected);
}

#[rstest]
#[case::bounded(json!({"name": "app", "cold_per_s": 12.0}), Some(limit("12")))]
#[case::not_bounded(json!({"name": "app", "cold_per_s": 0.0}), None)]
#[case::not_named(json!({"name": "app"}), None)]
fn configuration_states_cold_limit(
    #[case] service: serde_json::Value,
    #[case] expected: Option<ServerLimit>,
) {
    let spec = json!({"version": 1, "routes": [], "services": [service]});
    let parts = decode_config(&spec, &KeyHasher::new("a shared key")).expect("it is valid");
    assert_eq!(parts.services[0].cold_limit, expected);
}

/// A host that receives the entry of a cold server from another host knows how long the server stays cold.
#[test]
fn cold_time_left_sent_to_other_hosts() {
    let mut first = FleetView::default();
    first.replace_all(at(0), 10, vec![server("a", 0), server("b", 0)]);
    first.apply(at(0), 11, vec![FleetChange::Updated(server("c", COLD_MS))]);
    assert_eq!(cold_ids(&first, at(100)), ["c"]);
    let mut second = FleetView::default();
    second.apply_update(at(2_000), first.update_since(at(2_000), 0));
    assert_eq!(cold_ids(&second, at(2_900)), ["c"]);
    assert!(cold_ids(&second, at(3_000)).is_empty());
    first.apply(at(4_000), 12, vec![FleetChange::Removed(NameKey::of("c"))]);
    first.apply(at(4_100), 13, vec![FleetChange::Updated(server("b", COLD_MS))]);
    assert_eq!(cold_ids(&first, at(4_200)), ["b"], "a server may become cold again");
}

/// One of several hosts that all know the same cold server.
fn host(server: ServerKey) -> SendControl {
    let mut sends = SendControl::default();
    sends.cold.record(server, at(COLD_MS.into()), limit("12"));
    sends
}

#[test]
fn limit_is_the_lower_one_while_cold() {
    let key = server("a", 0).key();
    let mut sends = host(key);
    assert_eq!(sends.limit(at(0), key), Some(limit("12")));
    assert_eq!(sends.limited(at(0)), [key]);
    sends.limits.apply_answer(at(0), at(0), key, limit("5"));
    assert_eq!(sends.limit(at(0), key), Some(limit("5")));
    assert_eq!(sends.limited(at(0)), [key]);
    let warm = host(key);
    assert_eq!(warm.limit(at(COLD_MS.into()), key), None);
    assert!(warm.limited(at(COLD_MS.into())).is_empty());
}

/// Guards against a burst at a restarted server when a hundred hosts have requests for it: each of them sees the server
/// idle and would send at once.
#[test]
fn hundred_hosts_stay_within_cold_limit() {
    let key = server("a", 0).key();
    let mut owner = host(key);
    let mut hosts: Vec<SendControl> = (0..100).map(|_| host(key)).collect();
    let mut sent = Vec::new();
    for millis in (0..u64::from(COLD_MS)).step_by(5) {
        let index = (millis / 5 % 100) as usize;
        let (now, from) = (at(millis), IncarnationId(index as u64));
        let host = &mut hosts[index];
        if !host.is_open(now, key, CallRank::default()) {
            continue;
        }
        let request = host.permit_request(now, key, CallRank::default(), PermitPurpose::Send);
        let (reply, _) = owner.receive(now, from, &request, true);
        if host.apply_reply(now, &request, Some(&reply)) {
            assert_eq!(reply.decision, PermitDecision::Granted);
            sent.push(millis);
        }
    }
    let second = Duration::from_secs(1).as_millis() as u64;
    let in_second =
        |from: &u64| sent.iter().filter(|at| (*from..from + second).contains(at)).count();
    let most = sent.iter().map(in_second).max().unwrap_or_default();
    assert!((10..=23).contains(&most), "{most} in a second of 12, half as many more and five");
}
