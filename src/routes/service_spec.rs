use crate::keys::NameKey;
use crate::server_limits::ServerLimit;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Key of a service.
pub type ServiceKey = NameKey;

/// What the operator says of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Its name.
    pub name: String,
    /// Most connections that one backend server takes from all hosts together.
    pub max_connections: u32,
    /// Requests a second that one of its servers bears from all hosts together while it is cold; `None` if it
    /// bears as many as when it is warm.
    pub cold_limit: Option<ServerLimit>,
    /// Set for services whose servers are model engines in two pools.
    pub engine: Option<EngineSpec>,
}

/// What the operator says of the model engines of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Requests that one engine works on at a time.
    pub slots: u32,
    /// Tokens that fit into the memory of one engine.
    pub memory_tokens: u32,
    /// Tokens in one event of a stream.
    pub tokens_per_event: u32,
    /// How long the result of a prefill is kept for its decode server.
    pub handle_ttl: Duration,
    /// How long an engine is away when it changes its stage.
    pub stage_change: Duration,
    /// Longest time that a slot and memory can be held; zero if engines grant no holds.
    pub max_hold: Duration,
    /// Whether engines can copy a running request's memory to another one as it grows.
    pub backups: bool,
}
