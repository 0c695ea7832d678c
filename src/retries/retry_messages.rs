use crate::routes::ServiceKey;
use serde::{Deserialize, Serialize};

/// A host asks the owner of its failure domain's pool for repeats of a service's requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetryRequest {
    /// Pairs the reply with it.
    pub sequence: u32,
    /// The service.
    pub service: ServiceKey,
    /// Repeats asked for; all of them are granted, or none.
    pub count: u32,
}

/// The owner's reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetryReply {
    /// Sequence of the question.
    pub sequence: u32,
    /// Whether the repeats may be made.
    pub granted: bool,
}
