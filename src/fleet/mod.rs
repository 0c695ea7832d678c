//! Fleet is what a host believes about the backend servers: pure state, with the present time
//! passed in.
//!
//! Inputs are entries of the platform's store, read or watched, and outages of the store; the
//! output is the list of servers that may get new work.

mod fleet_view;
mod server_entry;

pub use fleet_view::{FleetChange, FleetView};
pub use server_entry::{ServerEntry, ServerStage, ServerState};
