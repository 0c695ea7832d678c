use super::OrgPressure;
use crate::keys::{NameKey, OrgKey, ServerKey};
use crate::routes::ServiceKey;
use std::collections::HashMap;
use std::time::Duration;

/// The decode servers of a service, and whose requests compete for them.
#[derive(Debug, Clone, PartialEq)]
pub struct DecodePool {
    /// The service.
    pub service: ServiceKey,
    /// Ready decode servers with their failure domains.
    pub servers: Vec<(ServerKey, NameKey)>,
    /// Memory of one server in tokens.
    pub memory_tokens: u32,
    /// The priorities of the routes to the service, most urgent first.
    pub ranks: Vec<u8>,
    /// The shares of the organisations relative to each other, by the short form of their keys; empty if there are none.
    pub org_weights: HashMap<u32, f64>,
    /// Number of hosts in this host's failure domain, itself included.
    pub host_count: usize,
    /// The longest time that a route to the service allows for a request.
    pub longest_run: Duration,
}

impl DecodePool {
    /// Whether there is anything to decide: requests of several ranks or organisations compete.
    pub fn is_contested(&self) -> bool {
        self.ranks.len() > 1 || !self.org_weights.is_empty()
    }

    /// The share of an organisation relative to those of the others.
    pub fn org_weight(&self, org: &OrgPressure) -> f64 {
        self.org_weights.get(&org.org).copied().unwrap_or(1.0)
    }

    /// Memory of all servers in tokens.
    pub fn capacity(&self) -> f64 {
        self.servers.len() as f64 * f64::from(self.memory_tokens)
    }
}

/// A request that needs decode memory.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionRequest {
    /// Priority of its route; zero is the most urgent.
    pub rank: u8,
    /// Its organisation.
    pub org: Option<OrgKey>,
    /// Memory tokens that it needs.
    pub tokens: u32,
    /// A random number from 0 to 1; a request with 0 is never refused without a search.
    pub draw: f64,
}
