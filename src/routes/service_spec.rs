use crate::keys::NameKey;
use crate::server_limits::ServerLimit;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Key of a service.
pub type ServiceKey = NameKey;

/// An operator's specification of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: String,
    /// Maximum number of connections that one backend server accepts from all hosts together.
    pub max_connections: u32,
    /// Requests a second that one server handles from all hosts together while it is cold; `None` if the warm
    /// limit applies.
    pub cold_limit: Option<ServerLimit>,
    /// Engine settings of a service whose servers are model engines in two pools.
    pub engine: Option<EngineSpec>,
}

/// An operator's specification of the model engines of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Number of requests that one engine handles concurrently.
    pub slots: u32,
    /// Memory size of one engine in tokens.
    pub memory_tokens: u32,
    /// Number of tokens in one event of a stream.
    pub tokens_per_event: u32,
    /// How long the result of a prefill is kept for its decode server.
    pub handle_ttl: Duration,
    /// How long an engine is unavailable while it changes its stage.
    pub stage_change: Duration,
    /// Maximum time for which a slot and memory can be held; zero if engines grant no holds.
    pub max_hold: Duration,
    /// Whether an engine can copy a running request's memory to another engine as it grows.
    pub backups: bool,
}
