use crate::keys::OrgKey;
use serde::{Deserialize, Serialize};

/// The demand of one organisation for decode memory, within a rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrgPressure {
    /// Half of the organisation's key, which saves four bytes in each row.
    pub org: u32,
    /// Memory tokens that its runs need.
    pub tokens: u32,
    /// Memory tokens that its refused requests of the last second needed.
    pub unmet_tokens: u32,
}

impl OrgPressure {
    /// The short form of an organisation's key.
    pub const fn short_key(org: OrgKey) -> u32 {
        org.0 as u32
    }
}
