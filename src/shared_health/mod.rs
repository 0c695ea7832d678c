//! Shared health tells all hosts what each of them observes of the health of backend servers.
//!
//! Otherwise each host would have to detect a server that breaks off, refuses connections or stays silent on its own, at
//! the cost of one or two requests per host. [`SharedHealth`] keeps what this host observed and what others report
//! ([`HealthReport`]), excludes a server once two hosts report it, and readmits it after the trial of one host.

mod health_change;
mod health_report;
mod host_failure;
mod own_observations;
mod pool_standings;
mod received_reports;
mod server_observation;
mod server_standing;
mod service_majority;
mod shared_health_table;
mod suspect_server;

pub use health_change::{HealthChange, HealthChangeKind};
pub use health_report::{HealthEntry, HealthReport, MAX_ENTRIES, OutgoingReport};
pub use pool_standings::PoolStandings;
pub use server_observation::ServerObservation;
pub use server_standing::ServerStanding;
pub use shared_health_table::SharedHealth;
pub use suspect_server::{INITIAL_PAUSE, MAX_PAUSE, MAX_TRIAL_PAUSE, REPORT_TTL};
