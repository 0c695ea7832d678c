//! A randomised soak: real daemons as processes of their own, with faults injected from outside.
//!
//! Stand-ins run in this process, and loopback proxies lie between them and the daemons. What
//! callers and backend servers see is checked while it runs and once more when all is calm.

mod answer_link;
mod link_listener;
mod soak_answer;
mod soak_ask;
mod soak_burst;
mod soak_caller;
mod soak_calm;
mod soak_check;
mod soak_config;
mod soak_cut;
mod soak_fault;
mod soak_force;
mod soak_inject;
mod soak_limits;
mod soak_run;
mod soak_shock;
mod soak_trace;

pub use soak_check::{SoakReport, SoakViolation};
pub use soak_run::{SoakOptions, run_soak};
