//! Memory forecast estimates the memory that answers will need, and the pace of each decode server.

use crate::keys::IncarnationId;
use serde::{Deserialize, Serialize};

/// The pace of servers as one host measured it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PaceUpdate {
    /// The host that measured it.
    pub from: IncarnationId,
}

/// The pace of each server.
#[derive(Debug, Default)]
pub struct PaceTable {}

/// The lengths of answers by route.
#[derive(Debug, Default)]
pub struct OutputForecast {}
