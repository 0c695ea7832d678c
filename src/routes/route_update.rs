use super::{RequestLimits, Route, RouteChanges, RouteParts, RouteTable, ServiceSpec, TableDigest};
use crate::organisations::Organisation;
use crate::{Error, Result};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A configuration as one host tells it to another: all of it, but for routes that the other one has.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RouteUpdate {
    /// Its version.
    pub version: u64,
    /// Revision of the store at which it was written.
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
    /// What a host needs to have `table`, written at `revision`, that has a table with the digest `known`, if it said so.
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

    /// How many routes it tells.
    pub fn route_count(&self) -> usize {
        match &self.routes {
            SentRoutes::All(routes) => routes.len(),
            SentRoutes::Changed(changes) => changes.len(),
        }
    }

    /// The configuration that it tells, for a host that had `known` as it asked.
    ///
    /// # Errors
    /// If it does not fit `known`, or is no proper configuration.
    pub fn apply_to(self, known: &RouteTable) -> Result<RouteTable> {
        let routes = match self.routes {
            SentRoutes::All(routes) => Some(routes),
            SentRoutes::Changed(changes) => {
                changes.apply_to(&known.parts().routes, known.route_hashes())
            }
        };
        let routes = routes.ok_or_else(|| {
            Error::Protocol("changes of routes do not fit the known ones".to_owned())
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
