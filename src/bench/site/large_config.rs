//! Configurations as large as those of operators with thousands of routes.

use super::config;
use serde_json::{Value, json};

/// A configuration with `further` routes that nobody asks for, each of about 250 bytes.
pub fn larger_config(version: u64, further: usize) -> Value {
    let mut config = config(version);
    let others = (0..further).map(|place| {
        plain_route(&format!("a-route-that-nobody-asks-for-{place}"), &format!("/further/{place}/"))
    });
    if let Some(routes) = config["routes"].as_array_mut() {
        routes.extend(others);
    }
    config
}

/// A route whose requests may be repeated, to the plain service.
pub fn plain_route(name: &str, path: &str) -> Value {
    json!({"name": name, "host": "books.example", "path_prefix": path, "kind": "safe",
        "timeout_ms": 20_000, "slo_ms": 2000, "priority": 1, "service": "app", "attempts": 2,
        "can_resume": false})
}
