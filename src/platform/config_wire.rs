//! Decodes the operator's configuration.

use crate::organisations::{KeyHasher, LimitUnit, OrgLimit, Organisation};
use crate::routes::{
    EngineSpec, RequestLimits, Route, RouteKind, RouteParts, RouteTarget, ServiceKey, ServiceSpec,
};
use crate::server_limits::ServerLimit;
use crate::{Error, Result};
use http::HeaderValue;
use serde::Deserialize;
use std::sync::Arc;
use std::time::Duration;

#[derive(Debug, Deserialize)]
struct WireConfig {
    version: u64,
    #[serde(default)]
    routes: Vec<WireRoute>,
    #[serde(default)]
    services: Vec<WireService>,
    limits: Option<WireLimits>,
    /// The organisations.
    #[serde(default)]
    tenants: Vec<WireTenant>,
}

#[derive(Deserialize)]
struct WireTenant {
    name: String,
    #[serde(default)]
    keys: Vec<String>,
    #[serde(default)]
    priority: f64,
    unit: Option<String>,
    /// Tokens charged for a request that does not state its size, if the unit is tokens.
    plain_tokens: Option<u32>,
    /// Units per second over all hosts; zero for no limit.
    #[serde(default)]
    rate_per_s: f64,
    #[serde(default)]
    burst: f64,
}

impl std::fmt::Debug for WireTenant {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "WireTenant({:?}, {} keys)", self.name, self.keys.len())
    }
}

#[derive(Debug, Deserialize)]
struct WireRoute {
    name: String,
    host: String,
    path_prefix: String,
    kind: String,
    #[serde(default)]
    priority: f64,
    timeout_ms: f64,
    /// The latency objective; for a stream, the objective for its first event.
    slo_ms: f64,
    /// The objective for the longest pause between two events of a stream.
    gap_aim_ms: Option<f64>,
    service: Option<String>,
    #[serde(default)]
    split: Vec<WireTarget>,
    attempts: Option<u32>,
    #[serde(default)]
    can_resume: bool,
    /// Whether callers need no key.
    #[serde(default)]
    public: bool,
}

#[derive(Debug, Deserialize)]
struct WireTarget {
    service: String,
    weight: f64,
}

#[derive(Debug, Deserialize)]
struct WireService {
    name: String,
    max_conns: Option<u32>,
    /// Requests per second that a cold server accepts from all hosts together; zero for no limit.
    #[serde(default)]
    cold_per_s: f64,
    engine: Option<WireEngine>,
}

#[derive(Debug, Deserialize)]
struct WireEngine {
    slots: u32,
    kv_tokens: u32,
    /// Tokens per event.
    stride: Option<u32>,
    handle_ttl_s: Option<f64>,
    role_switch_s: Option<f64>,
    hold_ms: Option<f64>,
    #[serde(default)]
    backups: bool,
}

#[derive(Debug, Deserialize)]
struct WireLimits {
    max_header_bytes: Option<usize>,
    max_body_bytes: Option<usize>,
    header_timeout_ms: Option<f64>,
    idle_timeout_ms: Option<f64>,
}

/// Decodes a configuration object of the store.
///
/// Hashes the callers' keys, so that no other part of the router holds a key in plain text.
///
/// # Errors
/// If a field is missing or has the wrong type, or if a limit is invalid.
pub fn decode_config(spec: &serde_json::Value, hasher: &KeyHasher) -> Result<RouteParts> {
    let wire = WireConfig::deserialize(spec)?;
    let routes = wire.routes.into_iter().map(|route| Route::try_from(route).map(Arc::new));
    let services = wire.services.into_iter().map(|service| Arc::new(service.into()));
    let organisations =
        wire.tenants.iter().map(|tenant| decode_tenant(tenant, hasher).map(Arc::new));
    let organisations = organisations.collect::<Result<Vec<_>>>()?;
    Ok(RouteParts {
        version: wire.version,
        limits: wire.limits.map_or_else(RequestLimits::default, RequestLimits::from),
        routes: routes.collect::<Result<Vec<_>>>()?,
        services: services.collect(),
        organisations,
    })
}

fn decode_tenant(wire: &WireTenant, hasher: &KeyHasher) -> Result<Organisation> {
    // The name is sent to servers in a header.
    if wire.name.is_empty() || HeaderValue::from_str(&wire.name).is_err() {
        return Err(Error::Protocol(format!("invalid organisation name {:?}", wire.name)));
    }
    let keys = wire.keys.iter().map(|key| hasher.digest(key)).collect();
    let priority = wire.priority as u8;
    Ok(Organisation { name: wire.name.clone(), priority, keys, limit: decode_limit(wire)? })
}

fn decode_limit(wire: &WireTenant) -> Result<Option<OrgLimit>> {
    let invalid = |what: &str| Error::Protocol(format!("organisation {:?} has {what}", wire.name));
    let (rate, burst) = (wire.rate_per_s, wire.burst);
    if !(rate.is_finite() && burst.is_finite() && rate >= 0.0 && burst >= 0.0) {
        return Err(invalid("a limit that is not a finite non-negative number"));
    }
    let unit = match wire.unit.as_deref() {
        None => LimitUnit::Requests,
        Some(TOKEN_UNIT) => LimitUnit::Tokens { plain: wire.plain_tokens.unwrap_or_default() },
        Some(other) => return Err(invalid(&format!("the unknown unit {other:?}"))),
    };
    Ok((rate > 0.0).then_some(OrgLimit { rate, burst, unit }))
}

/// The unit of limits that count tokens.
const TOKEN_UNIT: &str = "token_report";

impl TryFrom<WireRoute> for Route {
    type Error = Error;

    fn try_from(wire: WireRoute) -> Result<Self> {
        let targets = if wire.split.is_empty() {
            let name = wire.service.as_deref().unwrap_or_default();
            vec![RouteTarget { service: ServiceKey::of(name), weight: 1 }]
        } else {
            wire.split.iter().map(RouteTarget::from).collect()
        };
        if wire.split.is_empty() && wire.service.is_none() {
            return Err(Error::Protocol(format!("route {:?} names no service", wire.name)));
        }
        Ok(Self {
            name: wire.name,
            host: wire.host,
            path_prefix: wire.path_prefix,
            kind: decode_kind(&wire.kind),
            // The cast saturates: a negative priority becomes zero, the most urgent one.
            priority: wire.priority as u8,
            time_limit: millis(wire.timeout_ms),
            objective: millis(wire.slo_ms),
            pause_objective: millis(wire.gap_aim_ms.unwrap_or_default()),
            max_servers: wire.attempts.unwrap_or(1).max(1),
            resumable: wire.can_resume,
            is_public: wire.public,
            targets,
        })
    }
}

impl From<&WireTarget> for RouteTarget {
    fn from(wire: &WireTarget) -> Self {
        /// Weights may be fractions; they are stored as integers in hundredths.
        const WEIGHT_SCALE: f64 = 100.0;
        Self { service: ServiceKey::of(&wire.service), weight: (wire.weight * WEIGHT_SCALE) as u32 }
    }
}

impl From<WireService> for ServiceSpec {
    fn from(wire: WireService) -> Self {
        Self {
            name: wire.name,
            max_connections: wire.max_conns.unwrap_or(u32::MAX),
            cold_limit: ServerLimit::try_from(wire.cold_per_s)
                .ok()
                .filter(|limit| !limit.is_zero()),
            engine: wire.engine.map(EngineSpec::from),
        }
    }
}

impl From<WireEngine> for EngineSpec {
    fn from(wire: WireEngine) -> Self {
        Self {
            slots: wire.slots,
            memory_tokens: wire.kv_tokens,
            tokens_per_event: wire.stride.unwrap_or(1).max(1),
            handle_ttl: Duration::from_secs_f64(wire.handle_ttl_s.unwrap_or_default().max(0.0)),
            stage_change: Duration::from_secs_f64(wire.role_switch_s.unwrap_or_default().max(0.0)),
            max_hold: millis(wire.hold_ms.unwrap_or_default()),
            backups: wire.backups,
        }
    }
}

impl From<WireLimits> for RequestLimits {
    fn from(wire: WireLimits) -> Self {
        let defaults = Self::default();
        Self {
            head_bytes: wire.max_header_bytes.unwrap_or(defaults.head_bytes),
            body_bytes: wire.max_body_bytes.unwrap_or(defaults.body_bytes),
            head_time: wire.header_timeout_ms.map_or(defaults.head_time, millis),
            idle_time: wire.idle_timeout_ms.map_or(defaults.idle_time, millis),
        }
    }
}

/// Decodes the kind of a route. Requests of an unknown kind must not be retried, so it counts as unsafe.
fn decode_kind(kind: &str) -> RouteKind {
    match kind {
        "safe" => RouteKind::Safe,
        "streaming" => RouteKind::Streaming,
        _ => RouteKind::Unsafe,
    }
}

fn millis(value: f64) -> Duration {
    Duration::from_secs_f64(value.max(0.0) / 1000.0)
}
