//! Encodes and decodes the object that records server crashes.

use super::wire_values::{read_key, unix_millis};
use crate::Result;
use crate::keys::{NameKey, RequestKey};
use crate::quarantine::{CrashUpdate, InterruptedRequest};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::time::SystemTime;

/// Kind and name of the object.
pub const CRASHES_OBJECT: (&str, &str) = ("tealcleat-crashes", "main");

#[derive(Debug, Serialize, Deserialize)]
struct WireCrash {
    /// Hexadecimal key, because JSON numbers hold only 53 bits.
    server: String,
    /// Unix time of the crash in milliseconds, by the clock of the host that wrote the record.
    at_ms: u64,
    /// Unix time in milliseconds at which one of the requests last arrived.
    idle_since_ms: u64,
    /// Hexadecimal keys of the requests that were in flight.
    requests: Vec<String>,
    /// How long each request had been in flight, in milliseconds; missing in objects written by earlier versions.
    #[serde(default)]
    ran_ms: Vec<u32>,
}

#[derive(Debug, Deserialize)]
struct WireCrashes {
    crashes: Vec<WireCrash>,
}

/// Decodes the crashes. `now` is the time of day, from which their ages are computed.
///
/// # Errors
/// If a field is missing or has the wrong type.
pub fn decode_crashes(spec: &Value, now: SystemTime) -> Result<Vec<CrashUpdate>> {
    let wire = WireCrashes::deserialize(spec)?;
    let now = unix_millis(now);
    wire.crashes.iter().map(|crash| decode_crash(crash, now)).collect()
}

fn decode_crash(wire: &WireCrash, now: u64) -> Result<CrashUpdate> {
    let durations = wire.ran_ms.iter().copied().chain(std::iter::repeat(0));
    let requests: Result<Vec<InterruptedRequest>> = wire
        .requests
        .iter()
        .zip(durations)
        .map(|(key, ran_ms)| Ok(InterruptedRequest { request: RequestKey(read_key(key)?), ran_ms }))
        .collect();
    Ok(CrashUpdate {
        server: NameKey(read_key(&wire.server)?),
        age_ms: age(now, wire.at_ms),
        idle_ms: age(now, wire.idle_since_ms),
        requests: requests?,
    })
}

/// Encodes the crashes, with their times computed from the time of day `now`.
pub fn encode_crashes(crashes: &[CrashUpdate], now: SystemTime) -> Value {
    let now = unix_millis(now);
    let wire: Vec<WireCrash> = crashes
        .iter()
        .map(|update| WireCrash {
            server: format!("{:016x}", update.server.0),
            at_ms: now.saturating_sub(update.age_ms.into()),
            idle_since_ms: now.saturating_sub(update.idle_ms.into()),
            requests: update
                .requests
                .iter()
                .map(|interrupted| interrupted.request.to_string())
                .collect(),
            ran_ms: update.requests.iter().map(|interrupted| interrupted.ran_ms).collect(),
        })
        .collect();
    json!({"crashes": wire})
}

/// Returns the milliseconds from `at` to `now`; zero if the clock was set back in between.
fn age(now: u64, at: u64) -> u32 {
    u32::try_from(now.saturating_sub(at)).unwrap_or(u32::MAX)
}
