//! Retries keep the repeats of all hosts together within what the platform allows: a ratio of the requests of a
//! sliding window, and a slack beyond that.
//!
//! Among a thousand hosts an even share of the slack is one repeat for each, and most of it lies idle at hosts that need
//! none. So each host keeps only a small part of its own ([`RetryWindow`]), with the ratio of its own requests; the
//! rest is a pool for each failure domain, which one of its hosts hands out ([`RetryPools`]) when another one is due a
//! repeat that its own part does not cover. Decisions are pure: questions and the present time in, grants out.

mod retry_messages;
mod retry_pools;
mod retry_window;

pub use retry_messages::{RetryReply, RetryRequest};
pub use retry_pools::{RetryPools, RetryShare};
pub use retry_window::{RetryBounds, RetryWindow};
