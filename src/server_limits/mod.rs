//! Server limits keep what backend servers in need take from all hosts together.
//!
//! A server names its limit in its answers. [`LimitBook`] holds what is known of each server's limit, by its
//! own answers and by what other hosts told; [`SendLog`] what this host sent to whom in the last seconds.

mod limit_book;
mod limit_news;
mod send_log;
mod server_limit;

pub use limit_book::{LimitBook, LimitChange};
pub use limit_news::LimitNews;
pub use send_log::{LOG_TIME, SendLog};
pub use server_limit::ServerLimit;
