//! Quarantine tells which requests crash the servers that run them, so that no host sends them on.
//!
//! Inputs are connections that servers broke off, what became of those servers, whole answers, and what
//! other hosts and the store told; the output is a verdict on a request. A server that crashes takes many
//! requests with it, so a crash alone says little of one of them: [`CrashTracker`] weighs who was there each time.

mod clearance_table;
mod crash_exchange;
mod crash_record;
mod crash_report;
mod crash_tracker;
mod crash_verdict;
mod served_requests;
mod unconfirmed_crashes;

pub use crash_report::{ClearanceUpdate, CrashReport, CrashUpdate, InterruptedRequest};
pub use crash_tracker::{CRASH_RETENTION, CrashTracker, SETTLE_TIME, TRIAL_DELAY};
pub use crash_verdict::{CRASHES_TO_HOLD, CrashEvidence, RequestVerdict};
pub use unconfirmed_crashes::{ConnectionLoss, UnconfirmedCrashes};
