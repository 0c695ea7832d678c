//! tealcleat routes requests to a few huge, fragile model backend servers in two pools.
//!
//! Decisions are pure machines (`placement`, `streams`, `claims`, `membership`, `intents`,
//! `orders`, `routes`, `fleet`, `organisations`, `limits`, `server_limits`, `quarantine`); edges know sockets (`platform`, `engines`,
//! `callers`, `peers`, `operators`); `host` joins them into the daemon, `gateway` into the daemon on the
//! users' platform. Arrows point one way: edges know decisions, never the reverse.

pub mod accounts;
pub mod bench;
pub mod callers;
pub mod claims;
pub mod engines;
mod error;
pub mod fleet;
pub mod gateway;
pub mod host;
pub mod intents;
pub mod invariant;
pub mod keys;
pub mod limits;
pub mod membership;
pub mod operators;
pub mod orders;
pub mod organisations;
pub mod peers;
pub mod placement;
pub mod platform;
pub mod quarantine;
pub mod retries;
pub mod routes;
pub mod server_limits;
pub mod settings;
pub mod streams;
pub mod telemetry;

pub use error::{Error, Result};
