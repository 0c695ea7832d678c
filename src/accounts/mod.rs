//! Accounts tell from the hosts' log lines how requests ended, when and why.
//!
//! Inputs are log lines of any number of hosts, in any order of hosts; the result is a table. What
//! no host wrote down, as requests that reached none, is not in it.

mod call_account;
mod call_outcome;
mod log_record;

pub use call_account::{AccountRow, CallAccount};
pub use call_outcome::CallOutcome;
pub use log_record::LogRecord;
