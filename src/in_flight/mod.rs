//! What a host has in flight: the requests and connections that the exit of the process would cut off.

mod cut_lines;
mod in_flight_table;
mod request_progress;

pub use cut_lines::{MAX_CUT_LINES, cut_lines};
pub use in_flight_table::{InFlightGuard, InFlightTable, InFlightWork};
pub use request_progress::{RequestProgress, RequestWait};
