use super::Deployment;
use crate::placement::PlacementPolicy;
use std::path::PathBuf;

/// Options for starting a fleet.
#[derive(Debug, Clone)]
pub struct FleetOptions {
    /// Deployment to start.
    pub deployment: Deployment,
    /// Placement policy of the daemons.
    pub policy: PlacementPolicy,
    /// Folder that holds the built programs.
    pub programs: PathBuf,
    /// Log level of the daemons, which log to files next to their settings.
    pub log_level: String,
}
