use super::{RequestLimits, Route, RouteHash, RouteKind, ServiceKey, ServiceSpec, TableDigest};
use crate::organisations::{OrgDirectory, Organisation};
use crate::{Error, Result};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

/// Tables with fewer routes are sent whole, since a digest would save little.
const MIN_DIGEST_ROUTES: usize = 64;

/// One version of the configuration, as hosts exchange it.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct RouteParts {
    /// Version of the configuration; zero before the first one.
    pub version: u64,
    /// Limits on requests.
    pub limits: RequestLimits,
    /// All routes.
    pub routes: Vec<Arc<Route>>,
    /// All services.
    pub services: Vec<Arc<ServiceSpec>>,
    /// All organisations; if there are none, callers need no keys.
    pub organisations: Vec<Arc<Organisation>>,
}

/// One version of the configuration, indexed for lookups; versions only increase.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    parts: RouteParts,
    by_host: HashMap<String, Vec<Arc<Route>>>,
    by_key: HashMap<ServiceKey, Arc<ServiceSpec>>,
    /// The different priorities of the routes to each service, most urgent first.
    priorities: HashMap<ServiceKey, Vec<u8>>,
    /// The longest time limit among the routes to each service.
    longest_limits: HashMap<ServiceKey, Duration>,
    organisations: OrgDirectory,
    /// Hashes of the routes in their order, computed on first use.
    hashes: OnceLock<Vec<RouteHash>>,
}

impl TryFrom<RouteParts> for RouteTable {
    type Error = Error;

    fn try_from(parts: RouteParts) -> Result<Self> {
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in &parts.routes {
            let host = route.host.to_ascii_lowercase();
            by_host.entry(host).or_default().push(Arc::clone(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let keyed =
            |service: &Arc<ServiceSpec>| (ServiceKey::of(&service.name), Arc::clone(service));
        let by_key = parts.services.iter().map(keyed).collect();
        let priorities = route_priorities(&parts.routes);
        let longest_limits = longest_limits(&parts.routes);
        let organisations = OrgDirectory::try_from(&parts.organisations[..])?;
        let hashes = OnceLock::new();
        Ok(Self { parts, by_host, by_key, priorities, longest_limits, organisations, hashes })
    }
}

fn route_priorities(routes: &[Arc<Route>]) -> HashMap<ServiceKey, Vec<u8>> {
    let mut priorities: HashMap<ServiceKey, Vec<u8>> = HashMap::new();
    for route in routes {
        for target in &route.targets {
            priorities.entry(target.service).or_default().push(route.priority);
        }
    }
    for ranks in priorities.values_mut() {
        ranks.sort_unstable();
        ranks.dedup();
    }
    priorities
}

fn longest_limits(routes: &[Arc<Route>]) -> HashMap<ServiceKey, Duration> {
    let mut limits: HashMap<ServiceKey, Duration> = HashMap::new();
    for route in routes {
        for target in &route.targets {
            let longest = limits.entry(target.service).or_default();
            *longest = route.time_limit.max(*longest);
        }
    }
    limits
}

impl RouteTable {
    /// Version of the configuration; zero before the first one.
    pub fn version(&self) -> u64 {
        self.parts.version
    }

    /// Limits on requests.
    pub fn limits(&self) -> RequestLimits {
        self.parts.limits
    }

    /// The parts from which another host can build the same table.
    pub fn parts(&self) -> &RouteParts {
        &self.parts
    }

    /// Hashes of the routes, in their order.
    pub(super) fn route_hashes(&self) -> &[RouteHash] {
        self.hashes
            .get_or_init(|| self.parts.routes.iter().map(|route| RouteHash::of(route)).collect())
    }

    /// Digest of this table's routes for another host; `None` for a small table, which is sent whole.
    pub fn digest(&self) -> Option<TableDigest> {
        (self.parts.routes.len() >= MIN_DIGEST_ROUTES).then(|| TableDigest::of(self.route_hashes()))
    }

    /// The route with the longest prefix of `path` among those of `host`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let routes = self.by_host.get(&name.to_ascii_lowercase())?;
        routes.iter().find(|route| path.starts_with(&route.path_prefix))
    }

    /// Hashes of the services of each route whose streams may be taken up by their callers, by the key of the route.
    pub fn resumable_targets(&self) -> BTreeMap<u64, u64> {
        let resumable = self.parts.routes.iter().filter(|route| route.kind == RouteKind::Streaming);
        let resumable = resumable.filter(|route| route.resumable);
        resumable.map(|route| (route.key(), route.targets_hash())).collect()
    }

    /// A service by its key.
    pub fn service(&self, key: ServiceKey) -> Option<&Arc<ServiceSpec>> {
        self.by_key.get(&key)
    }

    /// The different priorities of the routes to a service, most urgent first.
    pub fn priorities(&self, service: ServiceKey) -> &[u8] {
        self.priorities.get(&service).map_or(&[], Vec::as_slice)
    }

    /// The longest time limit among the routes to a service; zero if there is none.
    pub fn longest_limit(&self, service: ServiceKey) -> Duration {
        self.longest_limits.get(&service).copied().unwrap_or_default()
    }

    /// Directory of the organisations.
    pub fn organisations(&self) -> &OrgDirectory {
        &self.organisations
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = (ServiceKey, &Arc<ServiceSpec>)> {
        self.by_key.iter().map(|(key, service)| (*key, service))
    }
}
