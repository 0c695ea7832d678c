//! Summarises from the log lines of hosts how requests ended, when and why.
//!
//! The input is the log lines of any number of hosts, in any order of hosts; the result is a table. Requests
//! that no host logged, such as those that reached no host, are missing from it.

mod call_account;
mod call_outcome;
mod log_record;

pub use call_account::{AccountRow, CallAccount};
pub use call_outcome::CallOutcome;
pub use log_record::LogRecord;
