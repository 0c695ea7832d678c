use crate::keys::OrgKey;
use serde::{Deserialize, Serialize};

/// A host asks an organisation's owner in its failure domain for units, and tells what it used.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LimitRequest {
    /// Pairs the answer with it; zero if none is waited for.
    pub sequence: u32,
    /// The organisation.
    pub org: OrgKey,
    /// Units that the host used since it started, those asked for included. A sum and not a difference:
    /// a message that is lost, doubled or late is made good by the next one.
    pub used: i64,
    /// Units asked for; zero if the host only tells what it used.
    pub units: u32,
    /// What the last owner had left when this host lately heard of it (below zero if more was used than
    /// there was); a new one goes on from there.
    pub seen_level: Option<i32>,
}

/// The owner's answer.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LimitReply {
    /// Sequence of what it answers.
    pub sequence: u32,
    /// The organisation.
    pub org: OrgKey,
    /// In how many milliseconds the units may be there, if they are not granted.
    pub refused_ms: Option<u32>,
    /// Units left.
    pub level: i32,
}

/// An owner asks the owner of another failure domain for units.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LoanRequest {
    /// Pairs the loan with it.
    pub sequence: u32,
    /// The organisation.
    pub org: OrgKey,
    /// Units wanted.
    pub units: u32,
}

/// Units that an owner took out of its bucket for another one.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LimitLoan {
    /// Sequence of the question.
    pub sequence: u32,
    /// The organisation.
    pub org: OrgKey,
    /// Units.
    pub units: u32,
}
