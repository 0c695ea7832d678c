//! Loopback links before stand-ins and daemons, with the faults of real ones.
//!
//! Whatever other daemons send to one of them passes through its [`HostLink`], connections and datagrams.

mod host_link;
mod link_proxy;

pub use host_link::{HostLink, LinkSockets};
pub(in crate::bench) use link_proxy::reset;
pub use link_proxy::{LinkProxy, ProxyMode};
