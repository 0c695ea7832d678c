//! Admission decides who gets decode memory while it is short over the whole pool.

use crate::keys::IncarnationId;
use serde::{Deserialize, Serialize};

/// The demand for decode memory that one host sees.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PressureUpdate {
    /// The host that sees it.
    pub from: IncarnationId,
}

/// The demand for decode memory over all hosts, and the decisions based on it.
#[derive(Debug, Default)]
pub struct AdmissionControl {}
