use super::KeyDigest;
use crate::keys::OrgKey;
use serde::{Deserialize, Serialize};

/// What an organisation's limit counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LimitUnit {
    /// Each request counts as one.
    Requests,
    /// A generation counts as the tokens of its prompt and the most that it may answer.
    Tokens {
        /// What a request without such a size counts.
        plain: u32,
    },
}

/// How much an organisation may use over all hosts together.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct OrgLimit {
    /// Units a second.
    pub rate: f64,
    /// Units beyond that at one time.
    pub burst: f64,
    /// What a unit is.
    pub unit: LimitUnit,
}

impl OrgLimit {
    /// What a request counts that states `tokens` of its prompt and most answer, if it states any.
    pub fn cost(&self, tokens: Option<u32>) -> u32 {
        match self.unit {
            LimitUnit::Requests => 1,
            LimitUnit::Tokens { plain } => tokens.unwrap_or(plain),
        }
    }
}

/// A partner or customer whose callers prove themselves with keys.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Organisation {
    /// Its name, as backend servers are told it.
    pub name: String,
    /// How urgent its requests are; zero goes first, before the priority of routes.
    pub priority: u8,
    /// Digests of the keys of its callers.
    pub keys: Vec<KeyDigest>,
    /// Its limit, if it has one.
    pub limit: Option<OrgLimit>,
}

impl Organisation {
    /// Its key in this system.
    pub fn key(&self) -> OrgKey {
        OrgKey::of(&self.name)
    }
}
