use super::ServerLimit;
use crate::keys::ServerKey;
use serde::{Deserialize, Serialize};

/// What a host knows of one server's limit.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LimitUpdate {
    /// The life of the server.
    pub server: ServerKey,
    /// Rises with each change that a host learned from an answer.
    pub version: u32,
    /// The limit; `None` if the server took it back, or never named one.
    pub limit: Option<ServerLimit>,
}

impl LimitUpdate {
    /// Whether this is to be believed rather than `other`: the later change, and of two changes at the same
    /// time the one that sends less.
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
