use serde::{Deserialize, Serialize};

/// Versions of a host's view. Each part is compared by itself, since a host may have the newer
/// configuration and the older list of servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ViewMark {
    /// Version of the configuration in force.
    pub config_version: u64,
    /// Revision of the list of servers; zero if hosts do not exchange the list.
    pub fleet_revision: u64,
}

impl ViewMark {
    /// Whether `other` has anything newer.
    pub const fn is_behind(self, other: Self) -> bool {
        self.config_version < other.config_version || self.fleet_revision < other.fleet_revision
    }
}
