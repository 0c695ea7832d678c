//! Configurations of a soak: each version can be told from the others by its routes.

use super::soak_run::SoakStage;
use crate::bench::site::{larger_config, plain_route};
use serde_json::Value;

/// Versions rise by this much.
const VERSION_STEP: u64 = 3;
/// A route that one version adds is kept by this many; the next one drops it.
const MARKS_KEPT: u64 = 3;

impl SoakStage {
    /// The operator confirms a further version.
    pub fn confirm_version(&mut self) {
        self.version += VERSION_STEP;
        let config = marked_config(self.version, self.unused_routes);
        self.site.set_config(self.version, &config);
    }
}

/// Beginning of the paths of the route that a version added.
pub(super) fn mark_path(version: u64) -> String {
    format!("/mark-{version}/")
}

/// The newest version that has no route of `version` any more.
pub(super) fn dropped_mark(version: u64) -> u64 {
    version.saturating_sub(MARKS_KEPT * VERSION_STEP)
}

/// A configuration with routes of its own and those of a few versions before.
fn marked_config(version: u64, further: usize) -> Value {
    let mut config = larger_config(version, further);
    let marks = (0..MARKS_KEPT).map(|age| version.saturating_sub(age * VERSION_STEP));
    let marks = marks.map(|mark| plain_route(&format!("mark-{mark}"), &mark_path(mark)));
    let added: Vec<Value> = marks.collect();
    if let Some(routes) = config["routes"].as_array_mut() {
        routes.extend(added);
    }
    config
}
