use super::{NetworkPartitions, PartitionScope};
use crate::Result;
use crate::host::lock;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;

const ANYWHERE: &str = "127.0.0.1:0";
const CHUNK_BYTES: usize = 16 << 10;
/// What all connections through a narrow link carry together: 10 Mbit/s.
const NARROW_BYTES_PER_S: f64 = 1_250_000.0;

/// What a proxy does with the bytes that pass through it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ProxyMode {
    /// Passes them on.
    #[default]
    Pass,
    /// Passes them on late.
    Delay(Duration),
    /// Passes them on as fast as a small host's link does.
    Narrow,
    /// Passes nothing on, either way.
    Silent,
    /// Passes nothing on towards the server; answers still come.
    DeafServer,
    /// Breaks connections off as soon as they say something.
    Reset,
}

/// A loopback proxy before one stand-in or daemon.
#[derive(Debug)]
pub struct LinkProxy {
    /// Where it listens.
    pub address: SocketAddr,
    mode: watch::Sender<ProxyMode>,
    /// Counts how often the open connections fell silent.
    silences: watch::Sender<u64>,
    source: Arc<Mutex<Option<IpAddr>>>,
}

impl LinkProxy {
    /// A proxy before `target` on a free port.
    ///
    /// # Errors
    /// If no port can be bound.
    pub async fn start(target: SocketAddr) -> Result<Self> {
        Self::start_with(target, NetworkPartitions::default()).await
    }

    /// The same among machines of which some are cut off now and then.
    ///
    /// # Errors
    /// If no port can be bound.
    pub async fn start_with(target: SocketAddr, cuts: NetworkPartitions) -> Result<Self> {
        Self::listen(TcpListener::bind(ANYWHERE).await?, target, cuts, &[PartitionScope::All])
    }

    /// Takes the connections of a listener; cuts of `scopes` part them.
    ///
    /// # Errors
    /// If the listener has no address.
    pub fn listen(
        listener: TcpListener,
        target: SocketAddr,
        cuts: NetworkPartitions,
        scopes: &'static [PartitionScope],
    ) -> Result<Self> {
        let address = listener.local_addr()?;
        let (mode, modes) = watch::channel(ProxyMode::Pass);
        let (silences, heard) = watch::channel(0);
        let wire = Arc::new(tokio::sync::Mutex::new(()));
        let source = Arc::default();
        let last = Arc::clone(&source);
        tokio::spawn(async move {
            while let Ok((near, from)) = listener.accept().await {
                *lock(&last) = Some(from.ip());
                let mut silences = heard.clone();
                silences.borrow_and_update();
                let wire = Arc::clone(&wire);
                let cuts = cuts.clone();
                let modes = modes.clone();
                tokio::spawn(async move {
                    let parted = cuts.parted([from.ip(), target.ip()], scopes);
                    carry(near, target, modes, silences, parted, wire).await;
                });
            }
        });
        Ok(Self { address, mode, silences, source })
    }

    /// The machine from which its last connection came.
    pub fn last_source(&self) -> Option<IpAddr> {
        *lock(&self.source)
    }

    /// Sets what happens to the bytes of all connections.
    pub fn set(&self, mode: ProxyMode) {
        self.mode.send_replace(mode);
    }

    /// The connections that are open now pass nothing on any more, and never end; new ones work.
    pub fn stall_open_connections(&self) {
        self.silences.send_modify(|count| *count += 1);
    }
}

async fn carry(
    near: TcpStream,
    target: SocketAddr,
    modes: watch::Receiver<ProxyMode>,
    mut silences: watch::Receiver<u64>,
    parted: impl Future<Output = ()>,
    wire: Arc<tokio::sync::Mutex<()>>,
) {
    tokio::pin!(parted);
    // One that begins in a cut gets nowhere.
    let far = tokio::select! {
        biased;
        () = &mut parted => return stay_open(silences).await,
        connected = TcpStream::connect(target) => connected,
    };
    let Ok(far) = far else {
        return;
    };
    if near.set_nodelay(true).and_then(|()| far.set_nodelay(true)).is_err() {
        return;
    }
    let (mut near_read, mut near_write) = near.into_split();
    let (mut far_read, mut far_write) = far.into_split();
    let end = {
        let up = pump(&mut near_read, &mut far_write, modes.clone(), &wire, true);
        let down = pump(&mut far_read, &mut near_write, modes, &wire, false);
        tokio::select! {
            end = up => CarryEnd::Up(end),
            end = down => CarryEnd::Down(end),
            changed = silences.changed() => changed.map_or(CarryEnd::ProxyGone, |()| CarryEnd::Dead),
            // Neither end hears of it, whatever becomes of the cut.
            () = &mut parted => CarryEnd::Dead,
        }
    };
    // When one way ends, both sockets are dropped: that breaks the other way off.
    match end {
        CarryEnd::Up(PumpEnd::Reset) => reset(far_write),
        CarryEnd::Down(PumpEnd::Reset) => reset(near_write),
        // Both sockets stay open until the proxy is gone. Neither way is under way any more, or it might hold the wire.
        CarryEnd::Dead => stay_open(silences).await,
        CarryEnd::Up(PumpEnd::Closed) | CarryEnd::Down(PumpEnd::Closed) | CarryEnd::ProxyGone => {}
    }
}

/// Waits until the proxy is gone.
async fn stay_open(mut silences: watch::Receiver<u64>) {
    while silences.changed().await.is_ok() {}
}

/// What ends a connection through a proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CarryEnd {
    /// The way towards the server ended.
    Up(PumpEnd),
    /// The way back did.
    Down(PumpEnd),
    /// It fell silent, or its machines were parted.
    Dead,
    /// The proxy is gone.
    ProxyGone,
}

/// How one way of a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PumpEnd {
    /// It was closed.
    Closed,
    /// It is to be reset.
    Reset,
}

/// Opens a connection from the address of a machine, so that links further on know whose it is.
pub(in crate::bench) async fn connect_as(
    machine: IpAddr,
    target: SocketAddr,
) -> std::io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::new(machine, 0))?;
    socket.connect(target).await
}

async fn pump(
    from: &mut OwnedReadHalf,
    to: &mut OwnedWriteHalf,
    mut modes: watch::Receiver<ProxyMode>,
    wire: &tokio::sync::Mutex<()>,
    towards_server: bool,
) -> PumpEnd {
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        let read = match from.read(&mut buffer).await {
            Ok(0) => return PumpEnd::Closed,
            Ok(read) => read,
            Err(_) => return PumpEnd::Reset,
        };
        let mode = *modes.borrow();
        match mode {
            ProxyMode::Pass => {}
            ProxyMode::Delay(time) => tokio::time::sleep(time).await,
            ProxyMode::Narrow => {
                let _turn = wire.lock().await;
                tokio::time::sleep(narrow_time(read)).await;
            }
            ProxyMode::Reset => return PumpEnd::Reset,
            ProxyMode::DeafServer if !towards_server => {}
            ProxyMode::Silent | ProxyMode::DeafServer => {
                // Held until the link heals; then the bytes arrive late.
                let healed = modes.wait_for(|mode| *mode == ProxyMode::Pass).await;
                if healed.is_err() {
                    return PumpEnd::Closed;
                }
            }
        }
        if to.write_all(&buffer[..read]).await.is_err() {
            return PumpEnd::Closed;
        }
    }
}

fn narrow_time(bytes: usize) -> Duration {
    Duration::from_secs_f64(bytes as f64 / NARROW_BYTES_PER_S)
}

/// Resets a connection whose other half is dropped next. A half that is dropped closes it first, and an answer
/// without a length would look whole.
pub(in crate::bench) fn reset(to: OwnedWriteHalf) {
    if let Err(error) = to.as_ref().set_zero_linger() {
        log::warn!("event=link_not_reset cause=\"{error}\"");
    }
    to.forget();
}
