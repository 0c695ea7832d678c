//! Shared health tells all hosts what each of them observes of the health of backend servers.

use crate::keys::IncarnationId;
use serde::{Deserialize, Serialize};

/// What one host observed of backend servers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HealthReport {
    /// The host that observed it.
    pub from: IncarnationId,
}

/// What all hosts observed of backend servers.
#[derive(Debug, Default)]
pub struct SharedHealth {}
