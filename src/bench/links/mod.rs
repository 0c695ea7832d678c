//! Loopback links before stand-ins and daemons, with the faults of real ones.
//!
//! Whatever other daemons send to one of them passes through its [`HostLink`], connections and datagrams.
//! [`NetworkPartitions`] tells links which machines are cut off from all others.

mod host_link;
mod link_proxy;
mod network_partitions;

pub use host_link::{HostLink, LinkSockets};
pub use link_proxy::{LinkProxy, ProxyMode};
pub(in crate::bench) use link_proxy::{connect_as, reset};
pub use network_partitions::{NetworkPartitions, PartitionScope};
