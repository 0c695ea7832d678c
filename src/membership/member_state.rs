use serde::{Deserialize, Serialize};

/// What is believed of a host; a later variant overrules an earlier one of the same version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// It answers.
    Alive,
    /// It drains: it owns nothing any more and takes no new requests.
    Leaving,
    /// It did not answer; it may refute that with a higher version.
    Suspect,
    /// It is gone; its incarnation never comes back.
    Dead,
}

impl MemberState {
    /// Whether such a host may own things: it is alive, or merely suspected.
    pub const fn is_living(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}
