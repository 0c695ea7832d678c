//! Worlds are simulations that run the shipped state machines through long seeded runs with faults.
//!
//! Each world simulates the environment of the state machines: it drops, delays, duplicates and
//! reorders events and counts violated guarantees. The state machines also assert their own invariants. An
//! [`InjectedBug`] makes a world handle one thing wrongly, so that a test can show that the world detects it.

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
