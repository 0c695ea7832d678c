use super::ServerRole;
use crate::keys::{NameKey, ServerKey};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// A model that the fleet serves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelSpec {
    /// Name, as callers send it.
    pub name: String,
    /// Version that servers should load.
    pub version: String,
    /// Adapters that callers may name.
    pub adapters: Vec<String>,
    /// Size of the weights, from which their download time is estimated.
    pub weight_bytes: u64,
    /// KV cache bytes per prompt token.
    pub kv_bytes_per_token: u64,
}

/// A backend server that runs models.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerSpec {
    /// Name of the server.
    pub name: String,
    /// Failure domain of the server.
    pub domain: String,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Role that it serves in.
    pub role: ServerRole,
    /// Models that it should load.
    pub models: Vec<String>,
    /// Number of requests that it decodes concurrently.
    pub slots: u32,
    /// Initial estimate of its prefill rate; its owner measures the actual one.
    pub prefill_tokens_per_second: u32,
    /// Rate of its inbound network link.
    pub link_bytes_per_second: u64,
    /// Whether it rejects orders with an outdated fence.
    pub checks_fence: bool,
    /// Whether it is leaving: it receives no new work, and no orders once it is empty.
    pub leaving: bool,
}

impl ServerSpec {
    /// Key of the server.
    pub fn key(&self) -> ServerKey {
        NameKey::of(&self.name)
    }

    /// Key of its failure domain.
    pub fn domain_key(&self) -> NameKey {
        NameKey::of(&self.domain)
    }
}

/// A plain service that callers reach besides the models.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Name, the first part of the path that callers use.
    pub name: String,
    /// Addresses of its servers.
    pub addresses: Vec<SocketAddr>,
    /// Paths whose POST requests must run at most once.
    pub once_paths: Vec<String>,
}

impl ServiceSpec {
    /// Whether a call must run at most once.
    pub fn runs_once(&self, method: &str, path: &str) -> bool {
        method == "POST" && self.once_paths.iter().any(|once| path == once)
    }
}

/// Latency targets of a caller class.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassSpec {
    /// Name, as callers send it.
    pub name: String,
    /// Target time to first token, in milliseconds.
    pub first_token_ms: u64,
    /// Target time between tokens, in milliseconds.
    pub between_tokens_ms: u64,
}

impl ClassSpec {
    /// Target time to first token.
    pub fn first_token(&self) -> Duration {
        Duration::from_millis(self.first_token_ms)
    }
}

/// An organisation that shares the fleet with others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrgSpec {
    /// Name, as callers send it.
    pub name: String,
}
