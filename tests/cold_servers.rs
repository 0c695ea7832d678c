//! Servers that have just started bear little for some seconds: what entries and the configuration say of it, what hosts
//! tell each other, and what all of them together send.

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
fn entry_says_how_long_it_is_cold(#[case] left: serde_json::Value, #[case] expected: u32) {
    let spec = json!({"service": "app", "address": "127.0.0.1:1", "zone": "a", "version": "v1",
        "slots": 4, "state": "ready", "cold_left_ms": left, "seq": 0});
    let object = StoreObject { name: "i-1".to_owned(), revision: 7, deleting: false, spec };
    assert_eq!(decode_server(&object).expect("a server").cold_ms, expected);
}

#[rstest]
#[case::bounded(json!({"name": "app", "cold_per_s": 12.0}), Some(limit("12")))]
#[case::not_bounded(json!({"name": "app", "cold_per_s": 0.0}), None)]
#[case::not_named(json!({"name": "app"}), None)]
fn configuration_says_what_cold_servers_bear(
    #[case] service: serde_json::Value,
    #[case] expected: Option<ServerLimit>,
) {
    let spec = json!({"version": 1, "routes": [], "services": [service]});
    let parts = decode_config(&spec, &KeyHasher::new("a shared key")).expect("it is valid");
    assert_eq!(parts.services[0].cold_limit, expected);
}

/// A host that hears of a cold server from another one knows how long it still is.
#[test]
fn cold_time_left_told_to_other_hosts() {
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
    assert_eq!(cold_ids(&first, at(4_200)), ["b"], "a server may turn cold again");
}

/// One of many hosts, which all know the same of one cold server.
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

/// Pattern: a server comes back while a hundred hosts have work for it, each of which finds it empty and would send at
/// once.
#[test]
fn hundred_hosts_send_what_a_cold_server_bears() {
    let key = server("a", 0).key();
    let mut owner = host(key);
    let mut hosts: Vec<SendControl> = (0..100).map(|_| host(key)).collect();
    let mut sent = Vec::new();
    for millis in (0..u64::from(COLD_MS)).step_by(5) {
        let place = (millis / 5 % 100) as usize;
        let (now, from) = (at(millis), IncarnationId(place as u64));
        let asking = &mut hosts[place];
        if !asking.is_open(now, key, CallRank::default()) {
            continue;
        }
        let ask = asking.permit_request(now, key, CallRank::default(), PermitPurpose::Send);
        let (reply, _) = owner.receive(now, from, &ask, true);
        if asking.apply_reply(now, &ask, Some(&reply)) {
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
