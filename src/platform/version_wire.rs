//! Encodes and decodes the object that records the software versions of services with several of them.

use super::wire_values::{read_key, unix_millis};
use crate::Result;
use crate::keys::NameKey;
use crate::stream_origins::SavedVersion;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::time::{Duration, SystemTime};

/// Kind and name of the object.
pub const VERSIONS_OBJECT: (&str, &str) = ("tealcleat-versions", "main");

#[derive(Debug, Serialize, Deserialize)]
struct WireVersion {
    /// Hexadecimal keys, because JSON numbers hold only 53 bits.
    service: String,
    version: String,
    /// Unix time in milliseconds at which its last server was gone; missing while one is there.
    gone_ms: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct WireVersions {
    versions: Vec<WireVersion>,
}

/// Decodes the versions, each with the time since its last server was gone. `now` is the time of day.
///
/// # Errors
/// If a field is missing or has the wrong type.
pub fn decode_versions(spec: &Value, now: SystemTime) -> Result<Vec<(SavedVersion, Duration)>> {
    let wire = WireVersions::deserialize(spec)?;
    let now = unix_millis(now);
    wire.versions.iter().map(|version| decode_version(version, now)).collect()
}

fn decode_version(wire: &WireVersion, now: u64) -> Result<(SavedVersion, Duration)> {
    let saved = SavedVersion {
        service: NameKey(read_key(&wire.service)?),
        version: NameKey(read_key(&wire.version)?),
        is_present: wire.gone_ms.is_none(),
    };
    let gone_for = wire.gone_ms.map_or(0, |at| now.saturating_sub(at));
    Ok((saved, Duration::from_millis(gone_for)))
}

/// Encodes the versions, each with the time since its last server was gone, at the time of day `now`.
pub fn encode_versions(versions: &[(SavedVersion, Duration)], now: SystemTime) -> Value {
    let now = unix_millis(now);
    let wire: Vec<WireVersion> = versions
        .iter()
        .map(|(saved, gone_for)| {
            let gone_for_ms = u64::try_from(gone_for.as_millis()).unwrap_or(u64::MAX);
            WireVersion {
                service: format!("{:016x}", saved.service.0),
                version: format!("{:016x}", saved.version.0),
                gone_ms: (!saved.is_present).then(|| now.saturating_sub(gone_for_ms)),
            }
        })
        .collect();
    json!({"versions": wire})
}
