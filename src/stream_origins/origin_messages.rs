use super::StreamKey;
use crate::keys::VersionKey;
use serde::{Deserialize, Serialize};

/// The version that began a stream, as one host tells it to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginUpdate {
    /// The stream.
    pub stream: StreamKey,
    /// Version of the software of the server that sent its first event.
    pub version: VersionKey,
    /// Milliseconds for which the stream may still be taken up.
    pub valid_ms: u32,
}

/// Asks which version began a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginRequest {
    /// Identifies the request in its reply.
    pub sequence: u32,
    /// The stream.
    pub stream: StreamKey,
}

/// Reply to an [`OriginRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginReply {
    /// Identifies the request.
    pub sequence: u32,
    /// What the answering host knows of the stream, if anything.
    pub origin: Option<OriginUpdate>,
}
