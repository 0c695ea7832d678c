use super::ServiceKey;
use crate::keys::{mix_hash, stable_hash};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Whether requests of a route may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// A request may run more than once.
    Safe,
    /// A request runs at most once.
    Unsafe,
    /// Answers are event streams; a request runs at most once unless the route is resumable.
    Streaming,
}

/// A service that receives a share of a route's requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTarget {
    /// Key of the service.
    pub service: ServiceKey,
    /// Share of the requests, relative to the weights of the route's other targets.
    pub weight: u32,
}

/// One route of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route in logs and metrics.
    pub name: String,
    /// Host name in the requests.
    pub host: String,
    /// Prefix of the paths that belong to the route; starts and ends with a slash.
    pub path_prefix: String,
    /// Whether requests may be retried.
    pub kind: RouteKind,
    /// Priority of the requests; zero is the highest.
    pub priority: u8,
    /// Maximum time from a request to its final answer.
    pub time_limit: Duration,
    /// Target time to the answer, or to the first event of a stream.
    pub objective: Duration,
    /// Target for the longest pause between two events of a stream; zero if none is set.
    pub pause_objective: Duration,
    /// Maximum number of backend servers that one request is sent to.
    pub max_servers: u32,
    /// Whether an interrupted stream may continue on another server after its last event.
    pub resumable: bool,
    /// Whether callers need no key of an organisation.
    pub is_public: bool,
    /// Services that handle the requests; never empty.
    pub targets: Vec<RouteTarget>,
}

impl Route {
    /// Whether a request may run more than once.
    pub fn is_retryable(&self) -> bool {
        self.kind == RouteKind::Safe || (self.kind == RouteKind::Streaming && self.resumable)
    }

    /// A key of the requests that belong to the route.
    pub fn key(&self) -> u64 {
        mix_hash(stable_hash(self.host.as_bytes()), stable_hash(self.path_prefix.as_bytes()))
    }

    /// A hash of the services and their shares.
    pub fn targets_hash(&self) -> u64 {
        let hash = |target: &RouteTarget| mix_hash(target.service.0, target.weight.into());
        self.targets.iter().map(hash).fold(0, mix_hash)
    }

    /// The service that handles the request `id`; every host chooses the same one.
    pub fn service_for(&self, id: &str) -> ServiceKey {
        let total: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        let mut point = stable_hash(id.as_bytes()) % total.max(1);
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if point < weight {
                return target.service;
            }
            point -= weight;
        }
        self.targets.last().map_or_else(ServiceKey::default, |target| target.service)
    }
}
