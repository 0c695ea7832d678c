//! Configurations of a site, as its operator writes them.

use serde_json::{Value, json};

/// A configuration with a stream route, a resumable one, a safe and an unsafe one.
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

/// The same with two organisations, of which the second one has a limit in tokens, and a route that needs
/// no key.
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
