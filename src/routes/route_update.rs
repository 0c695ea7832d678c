use super::{RequestLimits, Route, RouteChanges, RouteParts, RouteTable, ServiceSpec, TableDigest};
use crate::organisations::Organisation;
use crate::{Error, Result};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A configuration as one host sends it to another: everything except the routes that the other host already has.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RouteUpdate {
    /// Version of the configuration.
    pub version: u64,
    /// Store revision at which the configuration was written.
    pub revision: u64,
    limits: RequestLimits,
    routes: SentRoutes,
    services: Vec<Arc<ServiceSpec>>,
    organisations: Vec<Arc<Organisation>>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
enum SentRoutes {
    All(Vec<Arc<Route>>),
    Changed(RouteChanges),
}

impl RouteUpdate {
    /// The update to `table`, written at `revision`, for a host whose table has the digest `known`. Without a
    /// digest, the update contains all routes.
    pub fn of(table: &RouteTable, revision: u64, known: Option<&TableDigest>) -> Self {
        let parts = table.parts().clone();
        let changed =
            known.and_then(|digest| digest.missing_changes(&parts.routes, table.route_hashes()));
        Self {
            version: parts.version,
            revision,
            limits: parts.limits,
            routes: changed.map_or(SentRoutes::All(parts.routes), SentRoutes::Changed),
            services: parts.services,
            organisations: parts.organisations,
        }
    }

    /// Number of routes included.
    pub fn route_count(&self) -> usize {
        match &self.routes {
            SentRoutes::All(routes) => routes.len(),
            SentRoutes::Changed(changes) => changes.len(),
        }
    }

    /// The updated configuration of a host that had the table `known` when it sent its request.
    ///
    /// # Errors
    /// If the update does not apply to `known`, or if the result is not a valid configuration.
    pub fn apply_to(self, known: &RouteTable) -> Result<RouteTable> {
        let routes = match self.routes {
            SentRoutes::All(routes) => Some(routes),
            SentRoutes::Changed(changes) => {
                changes.apply_to(&known.parts().routes, known.route_hashes())
            }
        };
        let routes = routes.ok_or_else(|| {
            Error::Protocol("route changes do not apply to the known routes".to_owned())
        })?;
        RouteTable::try_from(RouteParts {
            version: self.version,
            limits: self.limits,
            routes,
            services: self.services,
            organisations: self.organisations,
        })
    }
}
