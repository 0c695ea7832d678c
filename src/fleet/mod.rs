//! Fleet is what a host believes about the backend servers: pure state, with the present time
//! passed in.
//!
//! Inputs are entries of the platform's store, read or watched, and outages of the store; the
//! output is the list of servers that may get new work. `watch_duty` says who asks the store.

mod fleet_news;
mod fleet_view;
mod life_change;
mod refused_hosts;
mod server_entry;
mod server_records;
mod stage_changes;
mod view_freshness;
mod watch_duty;

pub use fleet_news::{FleetChange, FleetNews, ServerNews};
pub use fleet_view::FleetView;
pub use life_change::{LifeChange, LifeOutcome};
pub use refused_hosts::RefusedHosts;
pub use server_entry::{ServerEntry, ServerStage, ServerState};
pub use stage_changes::StageChanges;
pub use view_freshness::ViewFreshness;
pub use watch_duty::{DutyView, WatchDuty, stretched, watch_duty};
