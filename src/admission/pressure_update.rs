use super::ServicePressure;
use crate::keys::{IncarnationId, NameKey};
use serde::{Deserialize, Serialize};

/// Whose demand an update contains.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PressureScope {
    /// The demand that the sender itself sees; for hosts of its failure domain.
    Host,
    /// The demand of the sender's whole failure domain; for hosts of other ones. One sum is sent there instead of the
    /// figures of each host, since links between domains are shared with callers.
    Domain(NameKey),
}

/// The demand for decode memory that one host or failure domain sees. It is complete: the newest one replaces all
/// earlier ones.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PressureUpdate {
    /// The host that sends it.
    pub from: IncarnationId,
    /// Increases with each update of that host.
    pub version: u64,
    /// Whose demand it is.
    pub scope: PressureScope,
    /// The demand by service.
    pub services: Vec<ServicePressure>,
}
