use crate::Result;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
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
}

impl LinkProxy {
    /// A proxy before `target` on a free port.
    ///
    /// # Errors
    /// If no port can be bound.
    pub async fn start(target: SocketAddr) -> Result<Self> {
        Self::listen(TcpListener::bind(ANYWHERE).await?, target)
    }

    /// Takes the connections of a listener.
    ///
    /// # Errors
    /// If the listener has no address.
    pub fn listen(listener: TcpListener, target: SocketAddr) -> Result<Self> {
        let address = listener.local_addr()?;
        let (mode, modes) = watch::channel(ProxyMode::Pass);
        let (silences, heard) = watch::channel(0);
        let wire = Arc::new(tokio::sync::Mutex::new(()));
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                let mut silences = heard.clone();
                silences.borrow_and_update();
                let wire = Arc::clone(&wire);
                tokio::spawn(carry(near, target, modes.clone(), silences, wire));
            }
        });
        Ok(Self { address, mode, silences })
    }

    /// Sets what happens to the bytes of all connections.
    pub fn set(&self, mode: ProxyMode) {
        self.mode.send_replace(mode);
    }

    /// The connections that are open now pass nothing on any more, and never end; new ones work.
    pub fn silence_open(&self) {
        self.silences.send_modify(|count| *count += 1);
    }
}

async fn carry(
    near: TcpStream,
    target: SocketAddr,
    modes: watch::Receiver<ProxyMode>,
    mut silences: watch::Receiver<u64>,
    wire: Arc<tokio::sync::Mutex<()>>,
) {
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    if near.set_nodelay(true).and_then(|()| far.set_nodelay(true)).is_err() {
        return;
    }
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let up = pump(near_read, far_write, modes.clone(), &wire, true);
    let down = pump(far_read, near_write, modes, &wire, false);
    tokio::pin!(up, down);
    // When one way ends, both sockets are dropped: that breaks the other way off.
    tokio::select! {
        () = &mut up => {}
        () = &mut down => {}
        changed = silences.changed() => {
            if changed.is_ok() {
                // Both sockets stay open until the proxy is gone.
                while silences.changed().await.is_ok() {}
            }
        }
    }
}

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut modes: watch::Receiver<ProxyMode>,
    wire: &tokio::sync::Mutex<()>,
    towards_server: bool,
) {
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        let read = match from.read(&mut buffer).await {
            Ok(0) => return,
            Ok(read) => read,
            Err(_) => return reset(to),
        };
        let mode = *modes.borrow();
        match mode {
            ProxyMode::Pass => {}
            ProxyMode::Delay(time) => tokio::time::sleep(time).await,
            ProxyMode::Narrow => {
                let _turn = wire.lock().await;
                tokio::time::sleep(narrow_time(read)).await;
            }
            ProxyMode::Reset => return reset(to),
            ProxyMode::DeafServer if !towards_server => {}
            ProxyMode::Silent | ProxyMode::DeafServer => {
                // Held until the link heals; then the bytes arrive late.
                let healed = modes.wait_for(|mode| *mode == ProxyMode::Pass).await;
                if healed.is_err() {
                    return;
                }
            }
        }
        if to.write_all(&buffer[..read]).await.is_err() {
            return;
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
