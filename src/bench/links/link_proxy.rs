use super::link_forward::{ForwardEnd, forward};
use super::{NetworkPartitions, PartitionScope, ProxyMode};
use crate::Result;
use crate::host::lock;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;

const ANY_PORT: &str = "127.0.0.1:0";

/// Which partitions affect the connections of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::bench) struct LinkScopes {
    /// Partitions of these scopes silence them.
    pub silent: &'static [PartitionScope],
    /// Partitions of these scopes reset them.
    pub reset: &'static [PartitionScope],
}

impl LinkScopes {
    /// A link to the store.
    const STORE: Self = Self { silent: &[PartitionScope::All], reset: &[] };
    /// A link to a server.
    const SERVER: Self = Self {
        silent: &[PartitionScope::All, PartitionScope::Servers],
        reset: &[PartitionScope::ServersReset],
    };
}
/// A loopback proxy in front of one stand-in or daemon.
#[derive(Debug)]
pub struct LinkProxy {
    /// The address that the proxy listens on.
    pub address: SocketAddr,
    mode: watch::Sender<ProxyMode>,
    /// Number of calls of [`LinkProxy::stall_open_connections`].
    stalls: watch::Sender<u64>,
    last_source: Arc<Mutex<Option<IpAddr>>>,
}

impl LinkProxy {
    /// Starts a proxy in front of `target` on a free port.
    ///
    /// # Errors
    /// If no port can be bound.
    pub async fn start(target: SocketAddr) -> Result<Self> {
        Self::start_with(target, NetworkPartitions::default()).await
    }

    /// Starts a proxy in front of `target` on a free port whose connections `partitions` can block.
    ///
    /// # Errors
    /// If no port can be bound.
    pub async fn start_with(target: SocketAddr, partitions: NetworkPartitions) -> Result<Self> {
        Self::listen(TcpListener::bind(ANY_PORT).await?, target, partitions, LinkScopes::STORE)
    }

    /// Starts a proxy in front of the server at `target` on a free port. Also partitions that separate machines from
    /// the servers only block its connections.
    ///
    /// # Errors
    /// If no port can be bound.
    pub async fn start_before_server(
        target: SocketAddr,
        partitions: NetworkPartitions,
    ) -> Result<Self> {
        Self::listen(TcpListener::bind(ANY_PORT).await?, target, partitions, LinkScopes::SERVER)
    }

    /// Proxies the connections of a listener; partitions of `scopes` affect them.
    ///
    /// # Errors
    /// If the listener's address cannot be read.
    pub(in crate::bench) fn listen(
        listener: TcpListener,
        target: SocketAddr,
        partitions: NetworkPartitions,
        scopes: LinkScopes,
    ) -> Result<Self> {
        let address = listener.local_addr()?;
        let (mode, modes) = watch::channel(ProxyMode::Pass);
        let (stalls, stall_changes) = watch::channel(0);
        let bandwidth_lock = Arc::new(tokio::sync::Mutex::new(()));
        let last_source = Arc::default();
        let latest_source = Arc::clone(&last_source);
        tokio::spawn(async move {
            while let Ok((client, from)) = listener.accept().await {
                *lock(&latest_source) = Some(from.ip());
                let mut stalls = stall_changes.clone();
                stalls.borrow_and_update();
                let bandwidth_lock = Arc::clone(&bandwidth_lock);
                let partitions = partitions.clone();
                let modes = modes.clone();
                tokio::spawn(async move {
                    let ends = [from.ip(), target.ip()];
                    let blocked = partitions.blocked(ends, scopes.silent);
                    let resets = partitions.blocked(ends, scopes.reset);
                    relay(client, target, modes, stalls, blocked, resets, bandwidth_lock).await;
                });
            }
        });
        Ok(Self { address, mode, stalls, last_source })
    }

    /// The machine that opened the latest connection.
    pub fn last_source(&self) -> Option<IpAddr> {
        *lock(&self.last_source)
    }

    /// Sets the mode of all connections, open and new.
    pub fn set(&self, mode: ProxyMode) {
        self.mode.send_replace(mode);
    }

    /// Stops forwarding on the open connections but does not close them; new connections work.
    pub fn stall_open_connections(&self) {
        self.stalls.send_modify(|count| *count += 1);
    }
}

async fn relay(
    client: TcpStream,
    target: SocketAddr,
    modes: watch::Receiver<ProxyMode>,
    mut stalls: watch::Receiver<u64>,
    blocked: impl Future<Output = ()>,
    resets: impl Future<Output = ()>,
    bandwidth_lock: Arc<tokio::sync::Mutex<()>>,
) {
    tokio::pin!(blocked, resets);
    // A connection that is opened during a partition is held open without a connection to the target.
    let server = tokio::select! {
        biased;
        () = &mut blocked => return hold_open(stalls).await,
        connected = TcpStream::connect(target) => connected,
    };
    let Ok(server) = server else {
        return;
    };
    if client.set_nodelay(true).and_then(|()| server.set_nodelay(true)).is_err() {
        return;
    }
    let (mut client_read, mut client_write) = client.into_split();
    let (mut server_read, mut server_write) = server.into_split();
    let end = {
        let up = forward(&mut client_read, &mut server_write, modes.clone(), &bandwidth_lock, true);
        let down = forward(&mut server_read, &mut client_write, modes, &bandwidth_lock, false);
        tokio::select! {
            end = up => RelayEnd::Up(end),
            end = down => RelayEnd::Down(end),
            changed = stalls.changed() => changed.map_or(RelayEnd::ProxyGone, |()| RelayEnd::Dead),
            // Neither end is notified, and the connection stays dead after the partition has ended.
            () = &mut blocked => RelayEnd::Dead,
            () = &mut resets => RelayEnd::Down(ForwardEnd::Reset),
        }
    };
    // Once one direction has ended, both sockets are dropped, which ends the other direction.
    match end {
        RelayEnd::Up(ForwardEnd::Reset) => reset(server_write),
        RelayEnd::Down(ForwardEnd::Reset) => reset(client_write),
        // Both sockets stay open until the proxy is dropped. Both `forward` futures were dropped above: a pending one
        // could keep `bandwidth_lock` held.
        RelayEnd::Dead => hold_open(stalls).await,
        RelayEnd::Up(ForwardEnd::Closed)
        | RelayEnd::Down(ForwardEnd::Closed)
        | RelayEnd::ProxyGone => {}
    }
}

/// Waits until the proxy is dropped.
async fn hold_open(mut stalls: watch::Receiver<u64>) {
    while stalls.changed().await.is_ok() {}
}

/// Why the relaying of a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RelayEnd {
    /// The direction to the server ended.
    Up(ForwardEnd),
    /// The direction to the client ended.
    Down(ForwardEnd),
    /// The connection was stalled, or a partition blocked it.
    Dead,
    /// The proxy was dropped.
    ProxyGone,
}

/// Opens a connection from the address of a machine, so that later links can identify the machine.
pub(in crate::bench) async fn connect_as(
    machine: IpAddr,
    target: SocketAddr,
) -> std::io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::new(machine, 0))?;
    socket.connect(target).await
}

/// Resets a connection whose read half is dropped next. Without this, dropping the write half would close the
/// connection normally, and a truncated response without a length would look complete.
pub(in crate::bench) fn reset(to: OwnedWriteHalf) {
    if let Err(error) = to.as_ref().set_zero_linger() {
        log::warn!("event=link_not_reset cause=\"{error}\"");
    }
    to.forget();
}
