//! Memory forecast estimates the memory that answers will need, and the pace of each decode server.
//!
//! Inputs are finished answers, measured paces and the loads of servers; outputs are the tokens that a hold names and
//! the pace of a server among those of its service. All types are state machines without I/O that receive the current
//! time as an argument.

mod answer_size;
mod growth_forecast;
mod hold_need;
mod output_forecast;
mod pace_table;
mod pace_update;
mod route_lengths;
mod run_count;
mod run_mix;

pub use answer_size::AnswerSize;
pub use growth_forecast::GrowthForecast;
pub use hold_need::{EngineMemory, HoldNeed};
pub use output_forecast::OutputForecast;
pub use pace_table::PaceTable;
pub use pace_update::{MAX_PACES_SENT, PaceUpdate, ServerPace};
pub use run_count::RunCount;
