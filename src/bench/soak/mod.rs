//! A randomised soak test: it runs real daemons as separate processes and injects faults from outside.
//!
//! The stand-ins run in this process, and loopback proxies connect the daemons to them. The soak test checks what
//! callers and backend servers see while faults are injected, and again after all faults have ended.

mod abandon_check;
mod answer_fault;
mod answer_link;
mod fault_log;
mod first_try;
mod handover_check;
mod handover_record;
mod herd_check;
mod host_contacts;
mod host_disruption;
mod host_shock;
mod hush_caller;
mod hush_check;
mod hush_rules;
mod lease_check;
mod link_listener;
mod part_caller;
mod part_check;
mod partition_group;
mod propagation_probe;
mod removal_check;
mod repeat_check;
mod request_forward;
mod server_cut;
mod server_cut_check;
mod server_silence;
mod soak_burst;
mod soak_caller;
mod soak_check;
mod soak_cluster;
mod soak_config;
mod soak_disruption;
mod soak_fault;
mod soak_inject;
mod soak_limits;
mod soak_options;
mod soak_recovery;
mod soak_rogues;
mod soak_run;
mod stream_taker;
mod version_check;
mod version_moves;

pub use handover_record::HandoverTally;
pub use hush_check::HushTally;
pub use part_check::PartTally;
pub use repeat_check::RepeatTally;
pub use soak_check::{CutTries, SoakReport, SoakViolation};
pub use soak_options::SoakOptions;
pub use soak_run::run_soak;
pub use stream_taker::{StreamTries, VersionTally};
