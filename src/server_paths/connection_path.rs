use std::net::SocketAddr;

/// The way that a connection takes to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ConnectionPath {
    /// From this host to the server.
    Direct,
    /// Through the host at this address.
    Tunnel(SocketAddr),
}
