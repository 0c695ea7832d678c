//! A host's view of the backend servers: pure state without I/O, with the present time as an
//! argument.
//!
//! Inputs are entries of the platform's store, listed or watched, and outages of the store; the
//! output is the list of servers that may get new work. [`watcher_role()`] decides whether this host
//! queries the store itself.

mod change_history;
mod fleet_update;
mod fleet_view;
mod incarnation_change;
mod list_span;
mod refused_hosts;
mod server_entry;
mod server_records;
mod stage_changes;
mod store_gap;
mod view_freshness;
mod watcher_role;

pub use fleet_update::{FleetChange, FleetUpdate, ServerUpdate};
pub use fleet_view::FleetView;
pub use incarnation_change::{IncarnationChange, IncarnationOutcome};
pub use list_span::ListSpan;
pub use refused_hosts::RefusedHosts;
pub use server_entry::{ServerEntry, ServerStage, ServerState};
pub use stage_changes::StageChanges;
pub use view_freshness::ViewFreshness;
pub use watcher_role::{RoleInput, WatcherRole, scaled_interval, watcher_role};
