use super::KeyDigest;
use crate::keys::OrgKey;
use serde::{Deserialize, Serialize};

/// Unit of an organisation's limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LimitUnit {
    /// Each request counts as one.
    Requests,
    /// A generation counts as the tokens of its prompt plus its maximum number of output tokens.
    Tokens {
        /// Tokens counted for a request without these numbers.
        plain: u32,
    },
}

/// Limit on an organisation's usage over all hosts together.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct OrgLimit {
    /// Units added per second.
    pub rate: f64,
    /// Units that may be used at once beyond the rate.
    pub burst: f64,
    /// Unit of the limit.
    pub unit: LimitUnit,
}

impl OrgLimit {
    /// Units of a request; `tokens` are those of its prompt and its maximum output, if it states them.
    pub fn cost(&self, tokens: Option<u32>) -> u32 {
        match self.unit {
            LimitUnit::Requests => 1,
            LimitUnit::Tokens { plain } => tokens.unwrap_or(plain),
        }
    }
}

/// A partner or customer whose callers authenticate themselves with keys.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Organisation {
    /// Name of the organisation, as sent to backend servers.
    pub name: String,
    /// Priority of its requests; zero is the highest. It takes precedence over the priority of routes.
    pub priority: u8,
    /// Digests of the keys of its callers.
    pub keys: Vec<KeyDigest>,
    /// Usage limit, if any.
    pub limit: Option<OrgLimit>,
}

impl Organisation {
    /// Key made from the organisation's name.
    pub fn key(&self) -> OrgKey {
        OrgKey::of(&self.name)
    }
}
