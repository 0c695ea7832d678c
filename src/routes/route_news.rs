use super::{RequestLimits, Route, RouteChanges, RouteParts, RouteTable, ServiceSpec, TableDigest};
use crate::organisations::Organisation;
use crate::{Error, Result};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A configuration as one host tells it to another: all of it, but for routes that the other one has.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RouteNews {
    /// Its version.
    pub version: u64,
    /// Revision of the store at which it was written.
    pub revision: u64,
    limits: RequestLimits,
    routes: ToldRoutes,
    services: Vec<Arc<ServiceSpec>>,
    organisations: Vec<Arc<Organisation>>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
enum ToldRoutes {
    All(Vec<Arc<Route>>),
    Changed(RouteChanges),
}

impl RouteNews {
    /// What a host needs to have `table`, written at `revision`, that has a table with the digest `known`, if it said so.
    pub fn of(table: &RouteTable, revision: u64, known: Option<&TableDigest>) -> Self {
        let parts = table.parts().clone();
        let changed = known.and_then(|digest| digest.lacks(&parts.routes, table.route_hashes()));
        Self {
            version: parts.version,
            revision,
            limits: parts.limits,
            routes: changed.map_or(ToldRoutes::All(parts.routes), ToldRoutes::Changed),
            services: parts.services,
            organisations: parts.organisations,
        }
    }

    /// How many routes it tells.
    pub fn told_routes(&self) -> usize {
        match &self.routes {
            ToldRoutes::All(routes) => routes.len(),
            ToldRoutes::Changed(changes) => changes.len(),
        }
    }

    /// The configuration that it tells, for a host that had `known` as it asked.
    ///
    /// # Errors
    /// If it does not fit `known`, or is no proper configuration.
    pub fn applied(self, known: &RouteTable) -> Result<RouteTable> {
        let routes = match self.routes {
            ToldRoutes::All(routes) => Some(routes),
            ToldRoutes::Changed(changes) => {
                changes.applied(&known.parts().routes, known.route_hashes())
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
