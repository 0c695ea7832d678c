use crate::keys::{NameKey, TimePoint};

/// A failure of a server that one host observed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct HostFailure {
    /// Failure domain of the host.
    pub domain: NameKey,
    /// When the failure was observed.
    pub at: TimePoint,
}
