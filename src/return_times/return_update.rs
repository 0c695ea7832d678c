use super::CallFigures;
use crate::keys::{IncarnationId, RequestKey};
use crate::routes::ServiceKey;
use crate::server_limits::CallRank;
use serde::{Deserialize, Serialize};

/// The requests of one service and rank at one host.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ServiceFigures {
    /// The service.
    pub service: ServiceKey,
    /// The rank.
    pub rank: CallRank,
    /// Its requests at the sender.
    pub figures: CallFigures,
}

/// A return that a host promised to a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromiseEntry {
    /// The request.
    pub key: RequestKey,
    /// The service that it needs.
    pub service: ServiceKey,
    /// Its rank.
    pub rank: CallRank,
    /// Milliseconds from the sending of the update until the return.
    pub after_ms: u16,
}

/// The requests that one host sees, and the returns that it promised to its callers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReturnUpdate {
    /// The host that promised them.
    pub from: IncarnationId,
    /// Increases with each update; the figures of an older one are ignored.
    pub version: u64,
    /// All services with requests at the sender.
    pub figures: Vec<ServiceFigures>,
    /// Promised returns that are still to come and that were not yet announced twice to all hosts. Promises of earlier
    /// updates stay valid, since callers act on them.
    pub promises: Vec<PromiseEntry>,
}

impl ReturnUpdate {
    /// Whether it contains nothing that another host needs.
    pub fn is_empty(&self) -> bool {
        self.figures.is_empty() && self.promises.is_empty()
    }
}
