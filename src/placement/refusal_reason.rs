use serde::{Deserialize, Serialize};

/// Why placement refused a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefusalReason {
    /// The work cannot finish before its deadline.
    TooLate,
    /// The work would make an already admitted request late.
    CrowdsOthers,
    /// No decode slot is free at the time of the handoff.
    NoSlot,
    /// The owner is still rebuilding the server's state.
    Rebuilding,
    /// The server is unhealthy, draining, or does not serve the model.
    NotServing,
    /// The host that received the request does not own the server.
    NotOwner,
}

impl RefusalReason {
    /// The name used in logs, metrics and answers.
    pub const fn name(self) -> &'static str {
        match self {
            Self::TooLate => "too_late",
            Self::CrowdsOthers => "crowds_others",
            Self::NoSlot => "no_slot",
            Self::Rebuilding => "rebuilding",
            Self::NotServing => "not_serving",
            Self::NotOwner => "not_owner",
        }
    }
}
