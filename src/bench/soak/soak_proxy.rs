use crate::Result;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// What a proxy does with the bytes that pass through it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) enum ProxyMode {
    /// Passes them on.
    #[default]
    Pass,
    /// Passes them on late.
    Delay(Duration),
    /// Passes nothing on, either way.
    Silent,
    /// Passes nothing on towards the server; answers still come.
    DeafServer,
    /// Breaks connections off as soon as they say something.
    Reset,
}

/// A loopback proxy before one stand-in.
#[derive(Debug)]
pub(super) struct SoakProxy {
    pub address: SocketAddr,
    mode: watch::Sender<ProxyMode>,
}

impl SoakProxy {
    pub async fn start(target: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (mode, modes) = watch::channel(ProxyMode::Pass);
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                tokio::spawn(carry(near, target, modes.clone()));
            }
        });
        Ok(Self { address, mode })
    }

    pub fn set(&self, mode: ProxyMode) {
        self.mode.send_replace(mode);
    }
}

async fn carry(near: TcpStream, target: SocketAddr, modes: watch::Receiver<ProxyMode>) {
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let up = pump(near_read, far_write, modes.clone(), true);
    let down = pump(far_read, near_write, modes, false);
    // When one way ends, both sockets are dropped: that breaks the other way off.
    tokio::select! {
        () = up => {}
        () = down => {}
    }
}

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut modes: watch::Receiver<ProxyMode>,
    towards_server: bool,
) {
    let mut buffer = vec![0; 16 << 10];
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

/// Resets a connection whose other half is dropped next. A half that is dropped closes it first, and an answer
/// without a length would look whole.
pub(super) fn reset(to: OwnedWriteHalf) {
    if let Err(error) = to.as_ref().set_zero_linger() {
        log::warn!("event=soak_not_reset cause=\"{error}\"");
    }
    to.forget();
}
