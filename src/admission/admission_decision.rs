use crate::keys::ServerKey;
use std::collections::HashSet;

/// Which decode servers a request may search.
#[derive(Debug, Clone, PartialEq)]
pub enum AdmissionDecision {
    /// All of them, in the usual order.
    Everywhere,
    /// A part of them.
    Search(SearchParts),
    /// None; it is refused at once.
    Refuse(AdmissionRefusal),
}

/// The parts of the decode servers that are set aside, as one request sees them.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct SearchParts {
    /// Servers that are kept for requests such as this one; it searches them before all others.
    pub first: HashSet<ServerKey>,
    /// Servers that are kept for other requests; it does not search them.
    pub without: HashSet<ServerKey>,
    /// Whether it belongs to a rank that others make way for, and so may search again for a while.
    pub is_urgent: bool,
}

/// Why a request is refused without a search.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalCause {
    /// Its organisation demands more than its fair share.
    OrgOverShare,
    /// Its rank demands more than is left for it.
    RankOverCapacity,
}

impl RefusalCause {
    /// The cause's name in logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::OrgOverShare => "org_over_share",
            Self::RankOverCapacity => "rank_over_capacity",
        }
    }
}

/// A refusal without a search, with the figures that it is based on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionRefusal {
    /// Why.
    pub cause: RefusalCause,
    /// Tokens that the organisation or rank demands.
    pub demand: f64,
    /// Tokens that it may use.
    pub share: f64,
}
