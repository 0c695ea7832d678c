use serde::{Deserialize, Serialize};

/// How urgent a request is; the lowest goes first.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize,
)]
pub struct CallRank(u16);

impl CallRank {
    /// The rank of a request of an organisation with the priority `organisation`, on a route with the priority
    /// `route`: that of the organisation goes first.
    pub const fn new(organisation: u8, route: u8) -> Self {
        Self(u16::from_be_bytes([organisation, route]))
    }
}
