//! Streams keeps one caller's answer whole: tokens in order, each once, from the right attempt.
//!
//! Inputs are tokens with their index and attempt; orders are what to write and what to cancel.

mod event_splitter;
mod token_ledger;

pub use event_splitter::{EventSplitter, ServerSentEvent};
pub use token_ledger::{TokenLedger, TokenVerdict};
