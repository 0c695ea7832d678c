//! Return times plans over all hosts when refused callers come back.

use crate::keys::IncarnationId;
use serde::{Deserialize, Serialize};

/// The returns that one host promised to its callers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReturnUpdate {
    /// The host that promised them.
    pub from: IncarnationId,
}

/// The returns that all hosts promised to callers.
#[derive(Debug, Default)]
pub struct ReturnCalendar {}
