//! Quarantine identifies the requests that crash the servers that run them, so that no host forwards them.
//!
//! Its inputs are connections that servers broke off, whether those servers crashed, full answers, and the updates
//! of other hosts and the store. Its output is a verdict on a request. A server that crashes interrupts many requests,
//! so one crash is weak evidence against any of them: [`CrashTracker`] compares the requests in flight at each crash.
//! Requests that are all different may crash servers by one part of their prompts: [`PartTracker`] compares the parts on
//! which runs had not begun to write.

mod clearance_table;
mod crash_exchange;
mod crash_record;
mod crash_report;
mod crash_tracker;
mod crash_verdict;
mod part_exchange;
mod part_record;
mod part_report;
mod part_tracker;
mod part_verdict;
mod receipt_clock;
mod recent_keys;
mod resend_schedule;
mod send_order;
mod unconfirmed_crashes;

pub use crash_report::{ClearanceUpdate, CrashReport, CrashUpdate, InterruptedRequest};
pub use crash_tracker::{CRASH_RETENTION, CrashTracker, TRIAL_DELAY};
pub use crash_verdict::{CRASHES_TO_HOLD, CrashEvidence, RequestVerdict};
pub use part_report::{PartClearance, PartCrash, PartReport, SuspectRequest};
pub use part_tracker::{PART_TRIAL_DELAY, PartTracker};
pub use receipt_clock::SETTLE_TIME;
pub use unconfirmed_crashes::{ConnectionLoss, UnconfirmedCrashes};
