//! tealcleat routes requests to a small number of large, failure-prone model backend servers in two pools, prefill and
//! decode.
//!
//! Decision modules are pure state machines without I/O (`placement`, `streams`, `claims`, `membership`, `intents`,
//! `orders`, `routes`, `fleet`, `organisations`, `limits`, `server_limits`, `quarantine`, `shared_health`, `admission`,
//! `return_times`, `memory_forecast`, `server_slots`, `server_paths`, `silent_runs`, `stream_origins`, `held_bytes`, `in_flight`, `resource_plan`).
//! Edge modules use sockets (`platform`, `engines`, `callers`, `peers`, `operators`, `open_connections`). `host` combines them into the
//! daemon, `gateway` into the daemon for the users' platform. Dependencies point one way: edge modules depend on decision
//! modules, never the reverse.

pub mod accounts;
pub mod admission;
pub mod bench;
pub mod callers;
pub mod claims;
mod connections;
pub mod engines;
mod error;
pub mod fleet;
pub mod gateway;
pub mod held_bytes;
pub mod host;
pub mod in_flight;
pub mod intents;
pub mod invariant;
pub mod keys;
pub mod limits;
pub mod membership;
pub mod memory_forecast;
pub mod open_connections;
pub mod operators;
pub mod orders;
pub mod organisations;
pub mod peers;
pub mod placement;
pub mod platform;
pub mod quarantine;
pub mod resource_plan;
pub mod retries;
pub mod return_times;
pub mod routes;
pub mod server_limits;
pub mod server_paths;
pub mod server_slots;
pub mod settings;
pub mod shared_health;
pub mod silent_runs;
pub mod stream_origins;
pub mod streams;
pub mod telemetry;

pub use error::{Error, Result};
