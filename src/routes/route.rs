use super::ServiceKey;
use crate::keys::stable_hash;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What may be repeated on a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// A request may run more than once.
    Safe,
    /// A request runs at most once.
    Unsafe,
    /// Answers are event streams; at most once unless the route is resumable.
    Streaming,
}

/// A service that a route sends a part of its requests to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTarget {
    /// The service.
    pub service: ServiceKey,
    /// Its part, relative to the weights of the route's other targets.
    pub weight: u32,
}

/// One route of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Its name, for logs and metrics.
    pub name: String,
    /// Host name that callers ask for.
    pub host: String,
    /// Beginning of the paths that belong to it; starts and ends with a slash.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// How urgent its requests are; zero goes first.
    pub priority: u8,
    /// Longest time that a request may be held before its final answer.
    pub time_limit: Duration,
    /// Time within which an answer (of a stream, its first event) is in time.
    pub objective: Duration,
    /// Longest pause between two events of a stream that is still in time; zero if none is set.
    pub longest_pause: Duration,
    /// Most backend servers that one request may be sent to.
    pub max_servers: u32,
    /// A stream may continue on another server after its last event.
    pub resumable: bool,
    /// Its callers need no key of an organisation.
    pub is_public: bool,
    /// Where the requests go; never empty.
    pub targets: Vec<RouteTarget>,
}

impl Route {
    /// Whether a request may run more than once.
    pub fn is_repeatable(&self) -> bool {
        self.kind == RouteKind::Safe || (self.kind == RouteKind::Streaming && self.resumable)
    }

    /// The service that runs the request `id`; the same on every host.
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
