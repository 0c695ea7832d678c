use serde::{Deserialize, Serialize};

/// How new a host's view is, each part by itself: a host may have the newer configuration and the
/// older list of servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ViewMark {
    /// Version of the configuration in force.
    pub config_version: u64,
    /// Revision of the list of servers; zero where hosts do not hand it to each other.
    pub fleet_revision: u64,
}

impl ViewMark {
    /// Whether `other` has anything newer.
    pub const fn is_behind(self, other: Self) -> bool {
        self.config_version < other.config_version || self.fleet_revision < other.fleet_revision
    }
}
