use crate::keys::{RequestKey, mix_hash, stable_hash};
use crate::routes::ServiceKey;
use serde::{Deserialize, Serialize};

/// Key of a stream at one service, equal on every host.
///
/// It is computed from the caller's attempt that received the first event and from the contents of the request, which
/// include the caller's organisation: the same attempt id of another caller names another stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StreamKey(pub u64);

impl StreamKey {
    /// The stream of the request `contents` whose first event the attempt `first_attempt` received.
    pub fn of(service: ServiceKey, contents: RequestKey, first_attempt: &str) -> Self {
        let request = mix_hash(service.0, contents.0);
        Self(mix_hash(request, stable_hash(first_attempt.as_bytes())))
    }
}
