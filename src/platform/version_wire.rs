//! Encodes and decodes the object that records the software versions of services, and where routes lead.

use super::wire_values::{read_key, unix_millis};
use crate::Result;
use crate::keys::NameKey;
use crate::stream_origins::SavedVersion;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::time::{Duration, SystemTime};

/// Kind and name of the object.
pub const VERSIONS_OBJECT: (&str, &str) = ("tealcleat-versions", "main");

/// What the object records.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct VersionRecord {
    /// The versions, each with the time since its last server was gone.
    pub versions: Vec<(SavedVersion, Duration)>,
    /// For how long the versions are complete.
    pub known_for: Duration,
    /// The digest of where routes lead, and for how long they have done so.
    pub targets: Option<(u64, Duration)>,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireVersion {
    /// Hexadecimal keys, because JSON numbers hold only 53 bits.
    service: String,
    version: String,
    /// Unix time in milliseconds at which its last server was gone; missing while one is there.
    gone_ms: Option<u64>,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireTargets {
    digest: String,
    /// Unix time in milliseconds since which routes have led there.
    since_ms: u64,
}

/// Earlier builds wrote the versions only.
#[derive(Debug, Deserialize)]
struct WireRecord {
    versions: Vec<WireVersion>,
    /// Unix time in milliseconds since which the versions are complete.
    known_since_ms: Option<u64>,
    targets: Option<WireTargets>,
}

/// Decodes the record. `now` is the time of day.
///
/// # Errors
/// If a field is missing or has the wrong type.
pub fn decode_versions(spec: &Value, now: SystemTime) -> Result<VersionRecord> {
    let wire = WireRecord::deserialize(spec)?;
    let now = unix_millis(now);
    let age = |since_ms: u64| Duration::from_millis(now.saturating_sub(since_ms));
    let versions = wire.versions.iter().map(|version| decode_version(version, age));
    let targets = match &wire.targets {
        Some(targets) => Some((read_key(&targets.digest)?, age(targets.since_ms))),
        None => None,
    };
    Ok(VersionRecord {
        versions: versions.collect::<Result<_>>()?,
        known_for: wire.known_since_ms.map(age).unwrap_or_default(),
        targets,
    })
}

fn decode_version(
    wire: &WireVersion,
    age: impl Fn(u64) -> Duration,
) -> Result<(SavedVersion, Duration)> {
    let saved = SavedVersion {
        service: NameKey(read_key(&wire.service)?),
        version: NameKey(read_key(&wire.version)?),
        is_present: wire.gone_ms.is_none(),
    };
    Ok((saved, wire.gone_ms.map(age).unwrap_or_default()))
}

/// Encodes the record at the time of day `now`.
pub fn encode_versions(record: &VersionRecord, now: SystemTime) -> Value {
    let now = unix_millis(now);
    let at = |age: Duration| now.saturating_sub(u64::try_from(age.as_millis()).unwrap_or(u64::MAX));
    let encode = |(saved, gone_for): &(SavedVersion, Duration)| WireVersion {
        service: format!("{:016x}", saved.service.0),
        version: format!("{:016x}", saved.version.0),
        gone_ms: (!saved.is_present).then(|| at(*gone_for)),
    };
    let versions: Vec<WireVersion> = record.versions.iter().map(encode).collect();
    let targets = record
        .targets
        .map(|(digest, age)| WireTargets { digest: format!("{digest:016x}"), since_ms: at(age) });
    json!({"versions": versions, "known_since_ms": at(record.known_for), "targets": targets})
}
