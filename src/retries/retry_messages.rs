use crate::routes::ServiceKey;
use serde::{Deserialize, Serialize};

/// A host's request to the owner of its failure domain's pool for retries of a service's requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetryRequest {
    /// Pairs the reply with the request.
    pub sequence: u32,
    /// The service.
    pub service: ServiceKey,
    /// Number of retries requested; all of them are granted, or none.
    pub count: u32,
}

/// The owner's reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetryReply {
    /// Sequence of the request.
    pub sequence: u32,
    /// Whether the retries are granted.
    pub granted: bool,
}
