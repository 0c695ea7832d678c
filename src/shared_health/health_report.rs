use super::ServerObservation;
use crate::keys::{IncarnationId, ServerKey};
use serde::{Deserialize, Serialize};

/// Most servers in one report, at up to 13 bytes each.
pub const MAX_ENTRIES: usize = 32;

/// What the sender of a report observed of one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HealthEntry {
    /// The server incarnation.
    pub server: ServerKey,
    /// The latest observation.
    pub observation: ServerObservation,
    /// Milliseconds since the observation.
    pub age_ms: u16,
}

/// What one host observed of backend servers; replaces its previous report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HealthReport {
    /// The host that observed it.
    pub from: IncarnationId,
    /// Increases with each report of the sender.
    pub version: u32,
    /// All observations that are recent enough to count.
    pub entries: Vec<HealthEntry>,
}

/// A report that is due, in the forms for its receivers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingReport {
    /// For hosts of the sender's failure domain: all observations.
    pub local: HealthReport,
    /// For other hosts: observations of servers in the sender's failure domain, since others do not count there.
    /// `None` if nothing about them has changed.
    pub remote: Option<HealthReport>,
}
