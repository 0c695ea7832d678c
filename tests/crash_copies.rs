//! The copy of crashes in the store: ages of its records and validation of its format.

use rstest::rstest;
use serde_json::json;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tealcleat::keys::{NameKey, RequestKey};
use tealcleat::platform::{CrashCopy, decode_crashes, encode_crashes};
use tealcleat::quarantine::CrashUpdate;

const CRASHER: RequestKey = RequestKey(u64::MAX);

#[rstest]
#[case::clock_advanced(4, 4000)]
#[case::clock_set_back(-3, 0)]
fn crash_copy_decoded_with_its_age(#[case] later_s: i64, #[case] age_ms: u32) {
    let written = UNIX_EPOCH + Duration::from_secs(1_800_000_000);
    let read = UNIX_EPOCH + Duration::from_secs((1_800_000_000 + later_s) as u64);
    let update =
        CrashUpdate { server: NameKey(1), age_ms: 0, idle_ms: 0, requests: vec![CRASHER.into()] };
    let crashes = vec![update.clone()];
    let copy = encode_crashes(&CrashCopy { crashes, ..CrashCopy::default() }, written);
    let expected = CrashUpdate { age_ms, idle_ms: age_ms, ..update };
    assert_eq!(decode_crashes(&copy, read).expect("crashes").crashes, [expected]);
}

#[rstest]
#[case::no_list(json!({}))]
#[case::other_type(json!({"crashes": [{"server": 7}]}))]
#[case::no_key(json!({"crashes":
    [{"server": "xyz", "at_ms": 0, "idle_since_ms": 0, "requests": []}]}))]
fn crash_copy_malformed_rejected(#[case] spec: serde_json::Value) {
    assert!(decode_crashes(&spec, SystemTime::now()).is_err());
}
