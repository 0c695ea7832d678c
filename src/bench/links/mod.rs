//! Loopback proxies in front of stand-ins and daemons that inject network faults.
//!
//! All traffic from other daemons to a daemon, connections and datagrams, passes through its [`HostLink`].
//! [`NetworkPartitions`] holds the machines that are partitioned from the others.

mod host_link;
mod link_forward;
mod link_proxy;
mod network_partitions;
mod proxy_mode;
mod unanswered_port;

pub use host_link::{HostLink, LinkSockets};
pub use link_proxy::LinkProxy;
pub(in crate::bench) use link_proxy::{LinkScopes, connect_as, reset};
pub use network_partitions::{NetworkPartitions, PartitionScope};
pub use proxy_mode::ProxyMode;
pub use unanswered_port::UnansweredPort;
