use super::{LinkProxy, LinkScopes, NetworkPartitions, PartitionScope};
use crate::Result;
use crate::host::lock;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tokio::net::{TcpListener, UdpSocket};

/// Receive buffer size; exceeds every datagram that daemons send.
const MAX_DATAGRAM_BYTES: usize = 8 << 10;

/// Partitions of these scopes block a link between hosts.
const HOST_LINK_SCOPES: LinkScopes =
    LinkScopes { silent: &[PartitionScope::All, PartitionScope::Hosts], reset: &[] };

/// The datagram sockets of all links, keyed by the address from which the daemon behind each link sends.
#[derive(Debug, Clone, Default)]
pub struct LinkSockets {
    sockets: Arc<Mutex<HashMap<SocketAddr, Arc<UdpSocket>>>>,
    /// Partitioned machines, whose traffic the links drop.
    pub partitions: NetworkPartitions,
}

/// The link in front of one daemon, at the daemon's advertised address.
#[derive(Debug)]
pub struct HostLink {
    /// The proxy for TCP connections.
    pub connections: LinkProxy,
}

impl HostLink {
    /// Opens a link at `advertised` to the daemon that listens at `target`.
    ///
    /// # Errors
    /// If the advertised address is in use.
    pub async fn open(
        advertised: SocketAddr,
        target: SocketAddr,
        links: &LinkSockets,
    ) -> Result<Self> {
        let listener = TcpListener::bind(advertised).await?;
        let connections =
            LinkProxy::listen(listener, target, links.partitions.clone(), HOST_LINK_SCOPES)?;
        let socket = Arc::new(UdpSocket::bind(advertised).await?);
        lock(&links.sockets).insert(target, Arc::clone(&socket));
        tokio::spawn(relay(socket, target, links.clone()));
        Ok(Self { connections })
    }
}

/// Forwards datagrams to a daemon, each from the advertised address of its sender.
async fn relay(socket: Arc<UdpSocket>, target: SocketAddr, links: LinkSockets) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        // The error of an earlier send to a daemon that is down can surface here.
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        if links.partitions.is_blocked([from.ip(), target.ip()], HOST_LINK_SCOPES.silent) {
            continue;
        }
        let sender_socket = lock(&links.sockets).get(&from).cloned();
        if let Some(sender_socket) = sender_socket {
            // Datagrams may be lost, so a failed send is ignored.
            drop(sender_socket.send_to(&buffer[..length], target).await);
        }
    }
}
