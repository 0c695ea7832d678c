//! Paths from this host to backend servers: its own network path, and tunnels through other hosts.
//!
//! A host may lose its own paths while the servers work and other hosts reach them. [`PathTable`] decides by which path a
//! new connection is tried first, and recognises that the host has lost all of its own paths. [`HelperTable`] chooses the
//! hosts through which a connection may go instead. A host that forwards a connection for another one uses its own path
//! only, so that no connection passes through two of them.

mod connection_path;
mod helper_table;
mod path_table;
mod tunnel_refusal;

pub use connection_path::ConnectionPath;
pub use helper_table::{Helper, HelperTable};
pub use path_table::{PathChange, PathPlan, PathTable};
pub use tunnel_refusal::TunnelRefusal;
