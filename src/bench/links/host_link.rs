use super::{LinkProxy, NetworkPartitions, PartitionScope};
use crate::Result;
use crate::host::lock;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tokio::net::{TcpListener, UdpSocket};

/// Longer than any datagram between daemons.
const LONGEST_DATAGRAM: usize = 8 << 10;

/// Cuts that part a link between hosts.
const BETWEEN_HOSTS: [PartitionScope; 2] = [PartitionScope::All, PartitionScope::Hosts];

/// Sockets of all links, by where the daemon behind each sends its datagrams from.
#[derive(Debug, Clone, Default)]
pub struct LinkSockets {
    sockets: Arc<Mutex<HashMap<SocketAddr, Arc<UdpSocket>>>>,
    /// Machines between which no link passes anything.
    pub partitions: NetworkPartitions,
}

/// The link before one daemon, at the address that it advertises.
#[derive(Debug)]
pub struct HostLink {
    /// Its connections.
    pub connections: LinkProxy,
}

impl HostLink {
    /// Opens the link to the daemon that listens at `target`.
    ///
    /// # Errors
    /// If the advertised address is in use.
    pub async fn open(
        advertised: SocketAddr,
        target: SocketAddr,
        all: &LinkSockets,
    ) -> Result<Self> {
        let listener = TcpListener::bind(advertised).await?;
        let connections =
            LinkProxy::listen(listener, target, all.partitions.clone(), &BETWEEN_HOSTS)?;
        let socket = Arc::new(UdpSocket::bind(advertised).await?);
        lock(&all.sockets).insert(target, Arc::clone(&socket));
        tokio::spawn(relay(socket, target, all.clone()));
        Ok(Self { connections })
    }
}

/// Passes datagrams on to a daemon, each from the advertised address of its sender.
async fn relay(socket: Arc<UdpSocket>, target: SocketAddr, all: LinkSockets) {
    let mut buffer = vec![0; LONGEST_DATAGRAM];
    loop {
        // An earlier datagram to a daemon that is down may surface here as an error.
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        if all.partitions.parts([from.ip(), target.ip()], &BETWEEN_HOSTS) {
            continue;
        }
        let sender = lock(&all.sockets).get(&from).cloned();
        if let Some(sender) = sender {
            // A lost datagram is part of every network.
            drop(sender.send_to(&buffer[..length], target).await);
        }
    }
}
