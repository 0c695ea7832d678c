//! Decides what happens while the server of a run is silent: the run is kept, and another one may be opened beside it.
//!
//! The inputs are events of servers and the present time; the results say whether another run is worth its cost.

mod hearing_table;
mod pool_silence;
mod resume_wait;

pub use hearing_table::{HearingTable, SILENT_AFTER};
pub use pool_silence::{FurtherStep, PoolSilence, PoolStanding, WaitReason};
pub use resume_wait::ResumeWait;
