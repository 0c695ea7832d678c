use crate::keys::OrgKey;
use serde::{Deserialize, Serialize};

/// A host's request for units to the organisation's owner in its failure domain, with a report of its use.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LimitRequest {
    /// Pairs the reply with the request; zero if no reply is expected.
    pub sequence: u32,
    /// The organisation.
    pub org: OrgKey,
    /// Units that the host has used since it started, including the requested ones. This is a total and not a
    /// difference, so the next message makes up for one that was lost, duplicated or late.
    pub used: i64,
    /// Units requested; zero if the host only reports its use.
    pub units: u32,
    /// The level that this host recently saw at the owner; negative if more was used than the bucket contained. A new
    /// owner continues from there.
    pub seen_level: Option<i32>,
}

/// The owner's reply.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LimitReply {
    /// Sequence of the request.
    pub sequence: u32,
    /// The organisation.
    pub org: OrgKey,
    /// If the units are not granted, milliseconds until they may be available.
    pub refused_ms: Option<u32>,
    /// Units left in the owner's bucket.
    pub level: i32,
}

/// An owner's request for units to the owner in another failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LoanRequest {
    /// Pairs the loan with the request.
    pub sequence: u32,
    /// The organisation.
    pub org: OrgKey,
    /// Units requested.
    pub units: u32,
}

/// Units that an owner took out of its bucket for another owner.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LimitLoan {
    /// Sequence of the request.
    pub sequence: u32,
    /// The organisation.
    pub org: OrgKey,
    /// Units lent.
    pub units: u32,
}
