//! Configurations of a test site, in the form that an operator writes.

use serde_json::{Value, json};

/// A configuration with a streaming route, a resumable streaming route, a safe route and an unsafe one.
pub fn config(version: u64) -> Value {
    let route = |name: &str, kind: &str, attempts: u32, service: &str, resume: bool| {
        json!({"name": name, "host": "books.example", "path_prefix": format!("/{name}/"),
            "kind": kind, "timeout_ms": 20_000, "slo_ms": 2000, "priority": 1, "service": service,
            "attempts": attempts, "can_resume": resume})
    };
    json!({"version": version,
        "routes": [
            route("stream", "streaming", 1, "engines", false),
            route("resume", "streaming", 2, "engines", true),
            route("safe", "safe", 2, "app", false),
            route("once", "unsafe", 1, "app", false),
        ],
        "services": [
            {"name": "engines", "health_path": "/healthz", "max_conns": 100, "protocol": "h1",
                "tls": false, "engine": {"slots": 8, "kv_tokens": 100_000, "stride": 12,
                "handle_ttl_s": 0.5, "role_switch_s": 1.0, "hold_ms": 2000.0, "backups": true}},
            {"name": "app", "health_path": "/healthz", "max_conns": 100, "protocol": "h1",
                "tls": false},
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000}})
}

/// [`config`] with two organisations, of which the second has a token limit, and with a route that needs no
/// key.
pub fn keyed_config(version: u64) -> Value {
    let mut config = config(version);
    config["routes"][2]["public"] = json!(true);
    config["tenants"] = json!([
        {"name": "hanbit", "keys": ["key-of-hanbit", "second-key-of-hanbit"], "priority": 1,
            "unit": "token_report", "plain_tokens": 20, "rate_per_s": 0, "burst": 0},
        {"name": "moonbook", "keys": ["key-of-moonbook"], "priority": 1, "unit": "token_report",
            "plain_tokens": 20, "rate_per_s": 10, "burst": 800},
    ]);
    config
}

/// [`config`] with `extra` additional unused routes of about 250 bytes each.
pub fn larger_config(version: u64, extra: usize) -> Value {
    let mut config = config(version);
    let extra_routes = (0..extra).map(|index| {
        plain_route(&format!("a-route-that-nobody-asks-for-{index}"), &format!("/further/{index}/"))
    });
    if let Some(routes) = config["routes"].as_array_mut() {
        routes.extend(extra_routes);
    }
    config
}

/// A route to the plain service whose requests may be retried.
pub fn plain_route(name: &str, path: &str) -> Value {
    json!({"name": name, "host": "books.example", "path_prefix": path, "kind": "safe",
        "timeout_ms": 20_000, "slo_ms": 2000, "priority": 1, "service": "app", "attempts": 2,
        "can_resume": false})
}
