//! Worlds drive the shipped machines through long seeded runs with faults.
//!
//! Each world fakes what lies outside the machines, drops, delays, doubles and crosses events, and
//! counts broken promises; the machines assert their own invariants besides. A [`InjectedBug`] makes
//! the world handle one thing wrongly, so that a test can see the promise break first.

mod claim_parts;
mod claim_world;
mod limit_exchange;
mod limit_parts;
mod limit_world;
mod member_world;
mod send_calls;
mod send_exchange;
mod send_parts;
mod send_world;
mod slot_world;
mod stream_world;
mod world_host;
mod world_network;
mod world_report;

pub use claim_world::run_claim_world;
pub use limit_world::run_limit_world;
pub use member_world::run_member_world;
pub use send_world::{SendPlan, run_send_plan, run_send_world};
pub use slot_world::run_slot_world;
pub use stream_world::run_stream_world;
pub use world_report::{InjectedBug, WorldReport};
