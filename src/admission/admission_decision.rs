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
    /// Servers that are reserved for its rank; it searches them before all others.
    pub first: HashSet<ServerKey>,
    /// Servers that are reserved for more urgent ranks; it does not search them.
    pub without: HashSet<ServerKey>,
    /// Whether servers are reserved for its rank, so that a further search may succeed soon.
    pub is_urgent: bool,
}

/// The refusal of a request whose organisation demands more than its fair share, with the figures that it is based on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionRefusal {
    /// Tokens that the organisation's runs and refused requests need.
    pub demand: f64,
    /// Tokens that it may use.
    pub share: f64,
}
