use super::{RequestLimits, Route, ServiceKey, ServiceSpec};
use std::collections::HashMap;
use std::sync::Arc;

/// One version of the configuration; versions only rise.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    /// Its version; zero before the first configuration.
    pub version: u64,
    /// Bounds on requests.
    pub limits: RequestLimits,
    by_host: HashMap<String, Vec<Arc<Route>>>,
    services: HashMap<ServiceKey, Arc<ServiceSpec>>,
}

impl RouteTable {
    /// A table of checked routes and services.
    pub fn new(
        version: u64,
        limits: RequestLimits,
        routes: Vec<Route>,
        services: Vec<ServiceSpec>,
    ) -> Self {
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            by_host.entry(route.host.to_ascii_lowercase()).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let services = services
            .into_iter()
            .map(|service| (ServiceKey::of(&service.name), Arc::new(service)))
            .collect();
        Self { version, limits, by_host, services }
    }

    /// The route with the longest prefix of `path` among those of `host`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let routes = self.by_host.get(&name.to_ascii_lowercase())?;
        routes.iter().find(|route| path.starts_with(&route.path_prefix))
    }

    /// A service by its key.
    pub fn service(&self, key: ServiceKey) -> Option<&Arc<ServiceSpec>> {
        self.services.get(&key)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = (ServiceKey, &Arc<ServiceSpec>)> {
        self.services.iter().map(|(key, service)| (*key, service))
    }
}
