//! Stand-ins for the systems that tealcleat serves, and the parts of the load generator.
//!
//! The stand-ins simulate costs with one model, which follows from the brief and is the same for
//! every placement policy; docs/MEASUREMENTS.md describes it.

mod answer_oracle;
mod bench_caller;
mod bench_http;
mod control_server;
mod decode_engine;
mod deployment;
mod engine_core;
mod engine_server;
mod engine_timing;
mod fault_switch;
mod fleet;
mod fleet_options;
mod free_ports;
mod gateway_process;
mod held_attempt;
mod host_process;
mod kv_store;
pub mod links;
mod load_mix;
mod load_run;
mod load_summary;
mod load_tally;
mod memory_watch;
mod prefill_engine;
mod report_plot;
pub mod rogue;
mod service_server;
pub mod site;
pub mod soak;
mod standin_plan;
mod standin_set;
mod weight_store;
pub mod worlds;

pub use answer_oracle::{answer_length, answer_tokens, prompt_hash, token_at};
pub use bench_caller::{BenchCaller, CallResult, Completion};
pub use bench_http::{http_call, operator_call};
pub use deployment::{Deployment, DeploymentKind};
pub use engine_core::EngineCore;
pub use engine_timing::EngineTiming;
pub use fault_switch::{FaultCommand, FaultKind};
pub use fleet::Fleet;
pub use fleet_options::FleetOptions;
pub use free_ports::{PortBlock, free_ports};
pub use gateway_process::{ConnectionCut, DEFAULT_GRACE, GatewayProcess, ProcessPlan};
pub use host_process::HostProcess;
pub use load_mix::{CallKind, LoadCall, LoadMix};
pub use load_run::{BenchFault, LoadOptions, run_load};
pub use load_summary::LoadSummary;
pub use load_tally::{CallRecord, LoadTally};
pub use memory_watch::{MemoryPeak, MemoryWatch};
pub use report_plot::plot_comparison;
pub use standin_plan::{EnginePlan, ServicePlan, StandinPlan};
pub use standin_set::{StandinAddresses, StandinSet, StandinStats, start_standins};
