//! Forecasts the memory that answers will need, and measures the pace of each server.
//!
//! Inputs are finished answers and measured paces; outputs are the length of an answer that a hold assumes and the speed
//! of a server among those of its service. All types are state machines without I/O that receive the current time as an
//! argument.

mod answer_size;
mod output_forecast;
mod pace_table;
mod pace_update;
mod read_speed;
mod route_lengths;

pub use answer_size::AnswerSize;
pub use output_forecast::OutputForecast;
pub use pace_table::PaceTable;
pub use pace_update::{MAX_PACES_SENT, PaceUpdate, ServerPace};
