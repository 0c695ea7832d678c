//! Encodes and decodes the lease that a host needs to order stage changes.

use crate::Result;
use crate::orders::LeaseRecord;
use serde::Deserialize;
use serde_json::{Value, json};

/// Kind and name of the lease object.
pub const LEASE_OBJECT: (&str, &str) = ("tealcleat-leases", "stage-orders");

#[derive(Debug, Deserialize)]
struct WireLease {
    holder: String,
    fence: u64,
}

/// Decodes the lease.
///
/// # Errors
/// If a field is missing or has the wrong type.
pub fn decode_lease(spec: &Value) -> Result<LeaseRecord> {
    let wire = WireLease::deserialize(spec)?;
    Ok(LeaseRecord { holder: wire.holder, fence: wire.fence })
}

/// Encodes the lease.
pub fn encode_lease(record: &LeaseRecord) -> Value {
    json!({"holder": record.holder, "fence": record.fence})
}
