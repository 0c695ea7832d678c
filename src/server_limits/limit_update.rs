use super::ServerLimit;
use crate::keys::ServerKey;
use serde::{Deserialize, Serialize};

/// What a host knows about the limit of one server.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LimitUpdate {
    /// The server incarnation.
    pub server: ServerKey,
    /// Increases with each change that a host learns from an answer.
    pub version: u32,
    /// The limit; `None` if the server withdrew it or never named one.
    pub limit: Option<ServerLimit>,
}

impl LimitUpdate {
    /// Whether this update takes precedence over `other`: the later version does, and of two updates with the same
    /// version, the one that allows fewer requests.
    pub fn replaces(&self, other: &Self) -> bool {
        if self.version != other.version {
            return self.version > other.version;
        }
        match (self.limit, other.limit) {
            (Some(limit), Some(known)) => limit < known,
            (limit, known) => limit.is_some() && known.is_none(),
        }
    }
}
