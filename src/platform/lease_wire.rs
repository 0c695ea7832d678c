//! Encodes and decodes the lease that a host needs to order stage changes.

use crate::keys::IncarnationId;
use crate::orders::{LeaseHolder, LeaseRecord};
use crate::{Error, Result};
use serde::Deserialize;
use serde_json::{Value, json};

/// Kind and name of the lease object.
pub const LEASE_OBJECT: (&str, &str) = ("tealcleat-leases", "stage-orders");

#[derive(Debug, Deserialize)]
struct WireLease {
    holder: String,
    /// Hexadecimal; absent in records of former versions.
    process: Option<String>,
    fence: u64,
}

/// Decodes the lease.
///
/// # Errors
/// If a field is missing or has the wrong type.
pub fn decode_lease(spec: &Value) -> Result<LeaseRecord> {
    let wire = WireLease::deserialize(spec)?;
    let process = wire.process.as_deref().map(decode_process).transpose()?;
    Ok(LeaseRecord { holder: LeaseHolder { host: wire.holder, process }, fence: wire.fence })
}

fn decode_process(text: &str) -> Result<IncarnationId> {
    let process = u64::from_str_radix(text, 16);
    process.map(IncarnationId).map_err(|error| Error::Protocol(format!("the process: {error}")))
}

/// Encodes the lease.
pub fn encode_lease(record: &LeaseRecord) -> Value {
    let holder = &record.holder;
    let process = holder.process.map(|process| format!("{:016x}", process.0));
    json!({"holder": holder.host, "process": process, "fence": record.fence})
}
