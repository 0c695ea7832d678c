//! Validation of servers' entries.

use entry_common::FieldChange::{self, Holds, Missing};
use entry_common::{changed_spec, complete_spec};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use serde_json::{Map, Value, json};
use std::net::SocketAddr;
use tealcleat::fleet::{ServerEntry, ServerStage, ServerState};
use tealcleat::keys::NameKey;
use tealcleat::platform::{StoreObject, decode_server};

mod entry_common;

fn address() -> SocketAddr {
    "127.0.0.1:7001".parse().expect("an address")
}

fn object(spec: Value) -> StoreObject {
    StoreObject { name: "i-1".to_owned(), revision: 7, deleting: false, spec }
}

fn decode(spec: &[u8]) -> Option<ServerEntry> {
    decode_server(&object(serde_json::from_slice(spec).expect("JSON"))).ok()
}

#[test]
fn complete_entry_is_accepted() {
    let entry = decode(&complete_spec(address())).expect("a server");
    assert_eq!(entry.id, "i-1");
    assert_eq!(entry.service, NameKey::of("app"));
    assert_eq!(entry.address, address());
    assert_eq!(entry.domain, NameKey::of("a"));
    assert_eq!(entry.state, ServerState::Ready);
    assert_eq!((entry.stage, entry.slots), (None, 8));
}

#[rstest]
#[case::draining(Holds("state", b"\"draining\""), ServerState::Draining, None)]
#[case::prefill(Holds("stage", b"\"prefill\""), ServerState::Ready, Some(ServerStage::Prefill))]
#[case::decode(Holds("stage", b"\"decode\""), ServerState::Ready, Some(ServerStage::Decode))]
#[case::stage_null(Holds("stage", b"null"), ServerState::Ready, None)]
#[case::start_unknown(Missing("born"), ServerState::Ready, None)]
#[case::further_field(Holds("models", b"[]"), ServerState::Ready, None)]
fn changed_entry_is_accepted(
    #[case] change: FieldChange,
    #[case] state: ServerState,
    #[case] stage: Option<ServerStage>,
) {
    let entry = decode(&changed_spec(address(), change)).expect("a server");
    assert_eq!((entry.state, entry.stage), (state, stage));
}

#[rstest]
#[case::service_missing(Missing("service"))]
#[case::service_number(Holds("service", b"7"))]
#[case::service_empty(Holds("service", b"\"\""))]
#[case::address_missing(Missing("address"))]
#[case::address_list(Holds("address", b"[\"127.0.0.1\",7001]"))]
#[case::address_no_address(Holds("address", b"\"somewhere\""))]
#[case::zone_missing(Missing("zone"))]
#[case::zone_empty(Holds("zone", b"\"\""))]
#[case::zone_null(Holds("zone", b"null"))]
#[case::slots_missing(Missing("slots"))]
#[case::slots_text(Holds("slots", b"\"8\""))]
#[case::slots_fraction(Holds("slots", b"8.5"))]
#[case::slots_negative(Holds("slots", b"-8"))]
#[case::state_missing(Missing("state"))]
#[case::state_unknown(Holds("state", b"\"resting\""))]
#[case::state_capital(Holds("state", b"\"Ready\""))]
#[case::state_object(Holds("state", b"{\"ready\":null}"))]
#[case::state_flag(Holds("state", b"true"))]
#[case::version_missing(Missing("version"))]
#[case::version_number(Holds("version", b"1"))]
#[case::cold_time_missing(Missing("cold_left_ms"))]
#[case::cold_time_text(Holds("cold_left_ms", b"\"0\""))]
#[case::seq_missing(Missing("seq"))]
#[case::seq_text(Holds("seq", b"\"0\""))]
#[case::seq_negative(Holds("seq", b"-1"))]
#[case::stage_unknown(Holds("stage", b"\"rank\""))]
#[case::stage_empty(Holds("stage", b"\"\""))]
#[case::stage_number(Holds("stage", b"1"))]
#[case::born_text(Holds("born", b"\"1700000000000\""))]
#[case::born_fraction(Holds("born", b"1700000000000.5"))]
#[case::born_negative(Holds("born", b"-1"))]
#[case::born_null(Holds("born", b"null"))]
fn invalid_entry_is_rejected(#[case] change: FieldChange) {
    assert_eq!(decode(&changed_spec(address(), change)), None);
}

#[rstest]
#[case::null(json!(null))]
#[case::text(json!("app"))]
#[case::number(json!(7))]
#[case::empty(json!({}))]
#[case::fields_in_a_list(json!(["app", "127.0.0.1:7001", "a", 8, "ready", null, 1]))]
fn invalid_contents_are_rejected(#[case] spec: Value) {
    decode_server(&object(spec)).expect_err("no server");
}

/// Ids are sent in a header of requests, so they must be valid header values.
#[rstest]
#[case::empty("")]
#[case::line_end("i-1\r\nx: y")]
#[case::no_ascii("i-é")]
fn invalid_id_is_rejected(#[case] id: &str) {
    let spec = serde_json::from_slice(&complete_spec(address())).expect("JSON");
    let unnamed = StoreObject { name: id.to_owned(), ..object(spec) };
    decode_server(&unnamed).expect_err("no server");
}

fn is_text(value: Option<&Value>) -> bool {
    value.and_then(Value::as_str).is_some_and(|text| !text.is_empty())
}

/// Validates an entry by the platform's specification, independently of the decoder.
fn is_well_formed(spec: &Map<String, Value>) -> bool {
    let text = |field: &str| spec.get(field).and_then(Value::as_str);
    let is_address = text("address").is_some_and(|text| text.parse::<SocketAddr>().is_ok());
    let is_count = spec.get("slots").and_then(Value::as_u64).is_some_and(|slots| slots <= 1 << 31);
    let is_stage = match spec.get("stage") {
        None | Some(Value::Null) => true,
        Some(stage) => matches!(stage.as_str(), Some("prefill" | "decode")),
    };
    is_text(spec.get("service"))
        && is_address
        && is_text(spec.get("zone"))
        && is_count
        && matches!(text("state"), Some("ready" | "draining"))
        && is_stage
        && text("version").is_some()
        && spec.get("cold_left_ms").is_some_and(Value::is_number)
        && spec.get("seq").is_some_and(Value::is_u64)
        && spec.get("born").is_none_or(Value::is_u64)
}

fn any_value(random: &mut StdRng, depth: u32) -> Value {
    const TEXTS: [&str; 8] =
        ["", "ready", "draining", "prefill", "decode", "app", "127.0.0.1:9", "\u{fffd}"];
    match random.random_range(0..if depth == 0 { 7 } else { 9 }) {
        0 => Value::Null,
        1 => json!(random.random::<bool>()),
        2 => json!(random.random_range(0..1_000_u32)),
        3 => json!(-random.random_range(1..1_000_i32)),
        4 => json!(random.random::<f64>() * 100.0),
        5 | 6 => json!(TEXTS[random.random_range(0..TEXTS.len())]),
        7 => json!([any_value(random, depth - 1), any_value(random, depth - 1)]),
        _ => json!({"ready": any_value(random, depth - 1)}),
    }
}

/// One to three fields of a complete entry hold random values: it is accepted only if it is well formed.
#[test]
fn random_entries_accepted_only_if_well_formed() {
    const SEED: u64 = 26;
    const ENTRIES: u32 = 20_000;
    const FIELDS: [&str; 7] = ["service", "address", "zone", "slots", "state", "stage", "born"];
    let mut random = StdRng::seed_from_u64(SEED);
    let complete: Map<String, Value> =
        serde_json::from_slice(&complete_spec(address())).expect("an object");
    let mut accepted_count = 0;
    for _ in 0..ENTRIES {
        let mut spec = complete.clone();
        for _ in 0..random.random_range(1..=3) {
            let field = FIELDS[random.random_range(0..FIELDS.len())];
            if random.random_range(0..10) == 0 {
                spec.remove(field);
            } else {
                spec.insert(field.to_owned(), any_value(&mut random, 2));
            }
        }
        let is_accepted = decode_server(&object(Value::Object(spec.clone()))).is_ok();
        assert_eq!(is_accepted, is_well_formed(&spec), "{}", Value::Object(spec));
        accepted_count += u32::from(is_accepted);
    }
    assert!(accepted_count > 0 && accepted_count < ENTRIES, "{accepted_count}");
}
