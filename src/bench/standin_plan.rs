use crate::intents::ServerRole;
use serde::{Deserialize, Serialize};

/// Plan of one simulated model engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EnginePlan {
    /// Name of the engine.
    pub name: String,
    /// Failure domain of the engine.
    pub domain: String,
    /// Initial role.
    pub role: ServerRole,
    /// Models that are loaded initially, as `name@version`.
    pub models: Vec<String>,
    /// Number of requests that it decodes concurrently.
    pub slots: u32,
    /// Whether it rejects orders with an outdated fence.
    pub checks_fence: bool,
}

/// Plan of one simulated plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServicePlan {
    /// Name of the service.
    pub name: String,
    /// Number of servers.
    pub servers: u32,
}

/// Plan of one process of stand-ins.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct StandinPlan {
    /// Engines.
    pub engines: Vec<EnginePlan>,
    /// Services.
    pub services: Vec<ServicePlan>,
}
