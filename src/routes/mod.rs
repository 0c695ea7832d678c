//! Routes: which service handles a request and which limits and objectives apply to it.

mod request_limits;
mod route;
mod route_table;
mod route_update;
mod service_spec;
mod table_digest;

pub use request_limits::RequestLimits;
pub use route::{Route, RouteKind, RouteTarget};
pub use route_table::{RouteParts, RouteTable};
pub use route_update::RouteUpdate;
pub use service_spec::{EngineSpec, ServiceKey, ServiceSpec};
pub use table_digest::{RouteChanges, RouteHash, TableDigest};
