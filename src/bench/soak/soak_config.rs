//! Builds the configurations of a soak test. Marker routes identify each version.

use super::hush_caller::{PAUSE_OBJECTIVE, RESUME_OBJECTIVE, STREAM_OBJECTIVE};
use super::soak_cluster::SoakCluster;
use crate::bench::site::{larger_config, plain_route};
use serde_json::{Value, json};
use std::time::Duration;

/// Difference between successive versions.
const VERSION_STEP: u64 = 3;
/// Number of versions that have a marker route: the one that adds it and those that follow.
const MARKERS_KEPT: u64 = 3;

impl SoakCluster {
    /// Writes the next version of the configuration to the store, as the operator does to confirm it.
    pub fn confirm_version(&mut self) {
        self.version += VERSION_STEP;
        let mut config = config_with_markers(self.version, self.unused_routes);
        if self.hushes_servers {
            set_objectives(&mut config, self.version);
        }
        self.site.set_config(self.version, &config);
    }
}

/// Sets the objectives on which the patience of callers rests; each version has other timeouts, longer than that.
fn set_objectives(config: &mut Value, version: u64) {
    let millis =
        |duration: Duration| json!(u64::try_from(duration.as_millis()).unwrap_or_default());
    for (route, objective) in [(0, STREAM_OBJECTIVE), (1, RESUME_OBJECTIVE)] {
        config["routes"][route]["slo_ms"] = millis(objective);
        config["routes"][route]["gap_aim_ms"] = millis(PAUSE_OBJECTIVE);
        config["routes"][route]["timeout_ms"] = json!(20_000 - version % 2 * 2000);
    }
    config["limits"]["idle_timeout_ms"] = json!(15_000 - version % 2 * 3000);
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
