//! Passes the bytes of one direction of a link's connection on.

use super::ProxyMode;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::watch;

const CHUNK_BYTES: usize = 16 << 10;
/// Bandwidth that all connections of a proxy share in [`ProxyMode::Narrow`]: 10 Mbit/s.
const NARROW_BYTES_PER_S: f64 = 1_250_000.0;

/// How one direction of a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ForwardEnd {
    /// The connection was closed.
    Closed,
    /// The connection has to be reset.
    Reset,
}

/// Forwards bytes as the mode of the link says, until the direction ends.
pub(super) async fn forward(
    from: &mut OwnedReadHalf,
    to: &mut OwnedWriteHalf,
    mut modes: watch::Receiver<ProxyMode>,
    bandwidth_lock: &tokio::sync::Mutex<()>,
    towards_server: bool,
) -> ForwardEnd {
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        if *modes.borrow() == ProxyMode::Cut {
            tokio::select! {
                _ = from.ready(Interest::ERROR) => return ForwardEnd::Reset,
                changed = modes.wait_for(|mode| *mode != ProxyMode::Cut) => {
                    if changed.is_err() {
                        return ForwardEnd::Closed;
                    }
                }
            }
        }
        let read = tokio::select! {
            biased;
            changed = modes.wait_for(|mode| *mode == ProxyMode::Cut) => match changed {
                Ok(_) => continue,
                Err(_) => return ForwardEnd::Closed,
            },
            read = from.read(&mut buffer) => read,
        };
        let read = match read {
            Ok(0) => return ForwardEnd::Closed,
            Ok(read) => read,
            Err(_) => return ForwardEnd::Reset,
        };
        let mode = *modes.borrow();
        match mode {
            ProxyMode::Pass | ProxyMode::Cut => {}
            ProxyMode::Delay(delay) => tokio::time::sleep(delay).await,
            ProxyMode::Narrow => {
                let _guard = bandwidth_lock.lock().await;
                tokio::time::sleep(transmit_time(read)).await;
            }
            ProxyMode::Reset => return ForwardEnd::Reset,
            ProxyMode::DeafServer if !towards_server => {}
            ProxyMode::Silent | ProxyMode::DeafServer => {
                // Delays the bytes until the mode is `Pass` again.
                let recovered = modes.wait_for(|mode| *mode == ProxyMode::Pass).await;
                if recovered.is_err() {
                    return ForwardEnd::Closed;
                }
            }
        }
        if to.write_all(&buffer[..read]).await.is_err() {
            return ForwardEnd::Closed;
        }
    }
}

fn transmit_time(bytes: usize) -> Duration {
    Duration::from_secs_f64(bytes as f64 / NARROW_BYTES_PER_S)
}
