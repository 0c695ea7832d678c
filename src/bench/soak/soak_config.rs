//! Configurations of a soak: each version can be told from the others by its routes.

use super::soak_run::SoakStage;
use crate::bench::site::config;
use serde_json::{Value, json};

/// Versions rise by this much.
const VERSION_STEP: u64 = 3;
/// A route that one version adds is kept by this many; the next one drops it.
const MARKS_KEPT: u64 = 3;

impl SoakStage {
    /// The operator confirms a further version.
    pub fn confirm_version(&mut self) {
        self.version += VERSION_STEP;
        let config = marked_config(self.version, self.further_routes);
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

/// A configuration with routes of its own, those of a few versions before, and `further` ones that nobody asks for.
fn marked_config(version: u64, further: usize) -> Value {
    let mut config = config(version);
    let marks = (0..MARKS_KEPT).map(|age| version.saturating_sub(age * VERSION_STEP));
    let marks = marks.map(|mark| plain_route(&format!("mark-{mark}"), &mark_path(mark)));
    // As long as routes of large configurations are.
    let others = (0..further).map(|place| {
        plain_route(&format!("a-route-that-nobody-asks-for-{place}"), &format!("/further/{place}/"))
    });
    let added: Vec<Value> = marks.chain(others).collect();
    if let Some(routes) = config["routes"].as_array_mut() {
        routes.extend(added);
    }
    config
}

fn plain_route(name: &str, path: &str) -> Value {
    json!({"name": name, "host": "books.example", "path_prefix": path, "kind": "safe",
        "timeout_ms": 20_000, "slo_ms": 2000, "priority": 1, "service": "app", "attempts": 2,
        "can_resume": false})
}
