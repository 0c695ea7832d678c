use serde::{Deserialize, Serialize};

/// The urgency of a request; lower ranks are more urgent.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize,
)]
pub struct CallRank(u16);

impl CallRank {
    /// The rank of a request of an organisation with the priority `organisation`, on a route with the priority
    /// `route`. The priority of the organisation takes precedence.
    pub const fn new(organisation: u8, route: u8) -> Self {
        Self(u16::from_be_bytes([organisation, route]))
    }
}
