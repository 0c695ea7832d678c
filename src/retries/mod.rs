//! Retries keeps the retries of all hosts together within the platform's retry budget: a ratio of the requests in a
//! sliding window, plus a fixed slack.
//!
//! Among a thousand hosts an even share of the slack is one retry for each, and most of it would stay unused at hosts
//! that need none. Therefore each host has only a small share of its own ([`RetryWindow`]), plus the ratio of its own
//! requests. The rest forms one pool for each failure domain. One host of the domain owns the pool and grants from it
//! ([`RetryPools`]) when another host needs a retry that its own share does not cover. Decisions are pure: requests and
//! the present time in, grants out.

mod own_share;
mod retry_messages;
mod retry_pools;
mod retry_window;
mod send_credit;

pub use own_share::{OwnShare, assumed_hosts};
pub use retry_messages::{RetryReply, RetryRequest};
pub use retry_pools::{RetryPools, RetryShare};
pub use retry_window::{RetryBounds, RetryWindow};
pub use send_credit::SendCredit;
