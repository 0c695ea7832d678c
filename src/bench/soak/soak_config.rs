//! Builds the configurations of a soak test. Marker routes identify each version.

use super::soak_cluster::SoakCluster;
use crate::bench::site::{larger_config, plain_route};
use serde_json::Value;

/// Difference between successive versions.
const VERSION_STEP: u64 = 3;
/// Number of versions that have a marker route: the one that adds it and those that follow.
const MARKERS_KEPT: u64 = 3;

impl SoakCluster {
    /// Writes the next version of the configuration to the store, as the operator does to confirm it.
    pub fn confirm_version(&mut self) {
        self.version += VERSION_STEP;
        let config = config_with_markers(self.version, self.unused_routes);
        self.site.set_config(self.version, &config);
    }
}

/// Returns the path prefix of the marker route that `version` added.
pub(super) fn marker_path(version: u64) -> String {
    format!("/mark-{version}/")
}

/// Returns the newest version whose marker route `version` has dropped.
pub(super) fn dropped_marker(version: u64) -> u64 {
    version.saturating_sub(MARKERS_KEPT * VERSION_STEP)
}

/// Builds a configuration with the marker routes of this version and the ones before it.
fn config_with_markers(version: u64, unused_routes: usize) -> Value {
    let mut config = larger_config(version, unused_routes);
    let versions = (0..MARKERS_KEPT).map(|age| version.saturating_sub(age * VERSION_STEP));
    let markers =
        versions.map(|marker| plain_route(&format!("mark-{marker}"), &marker_path(marker)));
    let markers: Vec<Value> = markers.collect();
    if let Some(routes) = config["routes"].as_array_mut() {
        routes.extend(markers);
    }
    config
}
