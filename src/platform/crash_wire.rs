//! The crashes of servers, as an object of a kind of the project's own.

use crate::Result;
use crate::keys::{NameKey, RequestKey};
use crate::quarantine::{CrashUpdate, InterruptedRequest};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Kind and name of the object.
pub const CRASHES_OBJECT: (&str, &str) = ("tealcleat-crashes", "main");

#[derive(Debug, Serialize, Deserialize)]
struct WireCrash {
    /// Hexadecimal: numbers of JSON hold 53 bits.
    server: String,
    /// Unix millisecond of the crash, by the clock of the host that wrote it.
    at_ms: u64,
    /// Unix millisecond at which one of the requests last came.
    idle_since_ms: u64,
    /// Hexadecimal keys.
    requests: Vec<String>,
    /// For how many milliseconds each of them had been there; none in copies of earlier versions.
    #[serde(default)]
    ran_ms: Vec<u32>,
}

#[derive(Debug, Deserialize)]
struct WireCrashes {
    crashes: Vec<WireCrash>,
}

/// Decodes the crashes; `now` is the time of day, which tells how old they are.
///
/// # Errors
/// If a field is missing or of another type.
pub fn decode_crashes(spec: &Value, now: SystemTime) -> Result<Vec<CrashUpdate>> {
    let wire = WireCrashes::deserialize(spec)?;
    let now = unix_millis(now);
    wire.crashes.iter().map(|crash| decode_crash(crash, now)).collect()
}

fn decode_crash(wire: &WireCrash, now: u64) -> Result<CrashUpdate> {
    let times = wire.ran_ms.iter().copied().chain(std::iter::repeat(0));
    let requests: Result<Vec<InterruptedRequest>> = wire
        .requests
        .iter()
        .zip(times)
        .map(|(key, ran_ms)| Ok(InterruptedRequest { request: RequestKey(read_key(key)?), ran_ms }))
        .collect();
    Ok(CrashUpdate {
        server: NameKey(read_key(&wire.server)?),
        age_ms: age(now, wire.at_ms),
        idle_ms: age(now, wire.idle_since_ms),
        requests: requests?,
    })
}

/// Encodes crashes at the time of day `now`.
pub fn encode_crashes(crashes: &[CrashUpdate], now: SystemTime) -> Value {
    let now = unix_millis(now);
    let wire: Vec<WireCrash> = crashes
        .iter()
        .map(|news| WireCrash {
            server: format!("{:016x}", news.server.0),
            at_ms: now.saturating_sub(news.age_ms.into()),
            idle_since_ms: now.saturating_sub(news.idle_ms.into()),
            requests: news.requests.iter().map(|broken| broken.request.to_string()).collect(),
            ran_ms: news.requests.iter().map(|broken| broken.ran_ms).collect(),
        })
        .collect();
    json!({"crashes": wire})
}

fn read_key(text: &str) -> Result<u64> {
    u64::from_str_radix(text, 16)
        .map_err(|error| crate::Error::Protocol(format!("key {text:?}: {error}")))
}

/// A clock that was put back makes nothing younger than now.
fn age(now: u64, at: u64) -> u32 {
    u32::try_from(now.saturating_sub(at)).unwrap_or(u32::MAX)
}

fn unix_millis(time: SystemTime) -> u64 {
    let since = time.duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
