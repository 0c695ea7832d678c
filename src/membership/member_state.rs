use serde::{Deserialize, Serialize};

/// State of a host; a later variant overrides an earlier one of the same version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// It answers probes.
    Alive,
    /// It is draining: it owns nothing any more and accepts no new requests.
    Leaving,
    /// It did not answer; it can refute the suspicion with a higher version.
    Suspect,
    /// It was declared dead; the incarnation returns only with a higher version of its own.
    Dead,
}

impl MemberState {
    /// Whether a host in this state may be an owner, that is, whether it is alive or merely suspected.
    pub const fn is_living(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }
}
