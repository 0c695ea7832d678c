//! Encodes and decodes the object that records server crashes.

use super::wire_values::{read_key, unix_millis};
use crate::Result;
use crate::keys::{NameKey, RequestKey};
use crate::quarantine::{CrashUpdate, InterruptedRequest, PartCrash, SuspectRequest};
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

#[derive(Debug, Serialize, Deserialize)]
struct WirePartCrash {
    /// Hexadecimal key, as in [`WireCrash`].
    server: String,
    /// Unix time of the crash in milliseconds, by the clock of the host that wrote the record.
    at_ms: u64,
    requests: Vec<WireSuspect>,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireSuspect {
    /// Hexadecimal key of the request.
    request: String,
    /// How long it had been in flight, in milliseconds.
    ran_ms: u32,
    /// Hexadecimal keys of the shared parts of its prompt.
    parts: Vec<String>,
}

#[derive(Debug, Deserialize)]
struct WireCrashes {
    crashes: Vec<WireCrash>,
    /// Missing in objects written by earlier versions.
    #[serde(default)]
    part_crashes: Vec<WirePartCrash>,
}

/// The copy of the crashes in the store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CrashCopy {
    /// Crashes, and the requests in flight at them.
    pub crashes: Vec<CrashUpdate>,
    /// Crashes, and the parts of the prompts on which requests had not begun to write.
    pub part_crashes: Vec<PartCrash>,
}

/// Decodes the crashes. `now` is the time of day, from which their ages are computed.
///
/// # Errors
/// If a field is missing or has the wrong type.
pub fn decode_crashes(spec: &Value, now: SystemTime) -> Result<CrashCopy> {
    let wire = WireCrashes::deserialize(spec)?;
    let now = unix_millis(now);
    let crashes: Result<_> = wire.crashes.iter().map(|crash| decode_crash(crash, now)).collect();
    let part_crashes: Result<_> =
        wire.part_crashes.iter().map(|crash| decode_part_crash(crash, now)).collect();
    Ok(CrashCopy { crashes: crashes?, part_crashes: part_crashes? })
}

fn decode_part_crash(wire: &WirePartCrash, now: u64) -> Result<PartCrash> {
    let requests: Result<_> = wire.requests.iter().map(decode_suspect).collect();
    Ok(PartCrash {
        server: NameKey(read_key(&wire.server)?),
        age_ms: age(now, wire.at_ms),
        requests: requests?,
    })
}

fn decode_suspect(wire: &WireSuspect) -> Result<SuspectRequest> {
    let parts: Result<_> = wire.parts.iter().map(|part| Ok(NameKey(read_key(part)?))).collect();
    Ok(SuspectRequest {
        request: RequestKey(read_key(&wire.request)?),
        ran_ms: wire.ran_ms,
        parts: parts?,
    })
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
pub fn encode_crashes(copy: &CrashCopy, now: SystemTime) -> Value {
    let now = unix_millis(now);
    let part_crashes: Vec<WirePartCrash> =
        copy.part_crashes.iter().map(|crash| encode_part_crash(crash, now)).collect();
    let wire: Vec<WireCrash> = copy
        .crashes
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
    json!({"crashes": wire, "part_crashes": part_crashes})
}

fn encode_part_crash(crash: &PartCrash, now: u64) -> WirePartCrash {
    let suspect = |suspect: &SuspectRequest| WireSuspect {
        request: suspect.request.to_string(),
        ran_ms: suspect.ran_ms,
        parts: suspect.parts.iter().map(|part| format!("{:016x}", part.0)).collect(),
    };
    WirePartCrash {
        server: format!("{:016x}", crash.server.0),
        at_ms: now.saturating_sub(crash.age_ms.into()),
        requests: crash.requests.iter().map(suspect).collect(),
    }
}

/// Returns the milliseconds from `at` to `now`; zero if the clock was set back in between.
fn age(now: u64, at: u64) -> u32 {
    u32::try_from(now.saturating_sub(at)).unwrap_or(u32::MAX)
}
