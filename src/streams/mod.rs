//! Keeps a caller's answer consistent: each token is written once, in order, and from the current attempt.
//!
//! The inputs are tokens with their index and attempt; the results say what to write and what to cancel.

mod event_splitter;
mod token_ledger;

pub use event_splitter::{EventSplitter, ServerSentEvent};
pub use token_ledger::{TokenLedger, TokenVerdict};
