use super::{RequestLimits, Route, RouteHash, ServiceKey, ServiceSpec, TableDigest};
use crate::organisations::{OrgDirectory, Organisation};
use crate::{Error, Result};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::sync::{Arc, OnceLock};

/// A table of fewer routes is sent whole: a digest would save little.
const LEAST_ROUTES: usize = 64;

/// One version of the configuration, as hosts hand it to each other.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct RouteParts {
    /// Its version; zero before the first configuration.
    pub version: u64,
    /// Bounds on requests.
    pub limits: RequestLimits,
    /// All routes.
    pub routes: Vec<Arc<Route>>,
    /// All services.
    pub services: Vec<Arc<ServiceSpec>>,
    /// All organisations; callers need no keys if there are none.
    pub organisations: Vec<Arc<Organisation>>,
}

/// One version of the configuration, ready to be looked up; versions only rise.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    parts: RouteParts,
    by_host: HashMap<String, Vec<Arc<Route>>>,
    by_key: HashMap<ServiceKey, Arc<ServiceSpec>>,
    organisations: OrgDirectory,
    /// Of each route, in their order; made when they are first asked for.
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
        let organisations = OrgDirectory::try_from(&parts.organisations[..])?;
        Ok(Self { parts, by_host, by_key, organisations, hashes: OnceLock::new() })
    }
}

impl RouteTable {
    /// Its version; zero before the first configuration.
    pub fn version(&self) -> u64 {
        self.parts.version
    }

    /// Bounds on requests.
    pub fn limits(&self) -> RequestLimits {
        self.parts.limits
    }

    /// What another host needs to have the same table.
    pub fn parts(&self) -> &RouteParts {
        &self.parts
    }

    /// Hashes of the routes, in their order.
    pub(super) fn route_hashes(&self) -> &[RouteHash] {
        self.hashes
            .get_or_init(|| self.parts.routes.iter().map(|route| RouteHash::of(route)).collect())
    }

    /// What tells another host which routes this table has; nothing if it has few, which are sent whole.
    pub fn digest(&self) -> Option<TableDigest> {
        (self.parts.routes.len() >= LEAST_ROUTES).then(|| TableDigest::of(self.route_hashes()))
    }

    /// The route with the longest prefix of `path` among those of `host`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let routes = self.by_host.get(&name.to_ascii_lowercase())?;
        routes.iter().find(|route| path.starts_with(&route.path_prefix))
    }

    /// A service by its key.
    pub fn service(&self, key: ServiceKey) -> Option<&Arc<ServiceSpec>> {
        self.by_key.get(&key)
    }

    /// The organisations.
    pub fn organisations(&self) -> &OrgDirectory {
        &self.organisations
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = (ServiceKey, &Arc<ServiceSpec>)> {
        self.by_key.iter().map(|(key, service)| (*key, service))
    }
}
