//! Forwards connections of other hosts to backend servers that those hosts do not reach.

use super::gateway_host::GatewayHost;
use super::stop_phase::StopPhase;
use crate::in_flight::{InFlightGuard, InFlightWork};
use crate::keys::{HostClock, TimePoint};
use crate::peers::{TunnelOpening, TunnelStream};
use crate::server_paths::TunnelRefusal;
use crate::{Error, Result};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicI64, Ordering};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;

/// Most connections that a host forwards at a time: 256 of the 4,100 descriptors of a small machine, and 4 MB of buffers.
const MAX_TUNNELS: u64 = 256;
/// A server within a site answers within a few milliseconds; the other host waits for 120 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(80);
/// A connection that carries nothing for this long is closed; no answer is awaited for longer. A shutdown changes nothing:
/// hosts close their idle connections through this one as soon as they hear of it, and the server of one that remains may
/// only be silent.
const IDLE_LIMIT: Duration = Duration::from_secs(60);
const IDLE_CHECK_PERIOD: Duration = Duration::from_millis(250);
const BUFFER_BYTES: usize = 8 << 10;

/// Counts one connection forwarded to a server until dropped; a graceful shutdown waits for all of them.
#[derive(Debug)]
struct TunnelGuard {
    host: Arc<GatewayHost>,
    #[allow(dead_code, reason = "dropped with the connection")]
    in_flight: InFlightGuard,
}

impl TunnelGuard {
    /// Counts a connection; `None` if the host forwards as many as it may.
    fn begin(host: &Arc<GatewayHost>, server: SocketAddr) -> Option<Self> {
        let others = host.open_tunnels.fetch_add(1, Ordering::Relaxed);
        let in_flight = host.in_flight.begin(host.now(), InFlightWork::Tunnel(server));
        let guard = Self { host: Arc::clone(host), in_flight };
        (others < MAX_TUNNELS).then_some(guard)
    }
}

impl Drop for TunnelGuard {
    fn drop(&mut self) {
        self.host.open_tunnels.fetch_sub(1, Ordering::Relaxed);
    }
}

impl GatewayHost {
    /// Serves another host's request for a connection to `server`, up to the end of the connection.
    pub(super) async fn serve_tunnel(
        self: Arc<Self>,
        server: SocketAddr,
        opening: TunnelOpening,
    ) -> Result<()> {
        match self.open_for_other(server, opening.needs_proof()).await {
            Ok((stream, guard)) => {
                self.metrics().add("tunnels_served", 1);
                let tunnel = opening.accept()?;
                let end = self.forward(tunnel, server, stream).await;
                drop(guard);
                end
            }
            Err(refusal) => {
                self.metrics().add("tunnels_refused", 1);
                log::info!("event=tunnel_refused address={server} cause={}", refusal.name());
                opening.refuse(refusal)
            }
        }
    }

    /// Connects to a server on this host's own path only, so that no connection passes through two hosts.
    async fn open_for_other(
        self: &Arc<Self>,
        server: SocketAddr,
        needs_proof: bool,
    ) -> std::result::Result<(TcpStream, TunnelGuard), TunnelRefusal> {
        if self.stop_phase() != StopPhase::Serving {
            return Err(TunnelRefusal::Stopping);
        }
        if !self.state().fleet.entries().any(|entry| entry.address == server) {
            return Err(TunnelRefusal::UnknownServer);
        }
        if self.pool.paths().is_cut_off() {
            return Err(TunnelRefusal::CutOff);
        }
        let is_proven = self.pool.paths().is_proven(server);
        if needs_proof && !is_proven {
            return Err(TunnelRefusal::Unproven);
        }
        let guard = TunnelGuard::begin(self, server).ok_or(TunnelRefusal::Busy)?;
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(server));
        let error = match connecting.await {
            Ok(Ok(stream)) => return Ok((stream, guard)),
            Ok(Err(error)) => Error::Io(error),
            Err(_elapsed) => Error::Timeout,
        };
        self.pool.paths().record_unopened(server, &error);
        // The other host takes the refusal for evidence against the server, and this one may have lost its own path.
        if !is_proven {
            return Err(TunnelRefusal::Unproven);
        }
        let is_refused = error.is_refused_connection();
        Err(if is_refused { TunnelRefusal::ConnectionRefused } else { TunnelRefusal::Unanswered })
    }

    /// Forwards bytes in both directions until both have ended. If one breaks, so does the other: the tunnel is dropped
    /// before its proper end, and the connection to the server is reset, so that nothing which the other host has given up
    /// is delivered later.
    async fn forward(
        &self,
        tunnel: TunnelStream,
        server: SocketAddr,
        mut stream: TcpStream,
    ) -> Result<()> {
        stream.set_nodelay(true)?;
        let (activity, paths) = (ActivityClock::start(), self.pool.paths());
        let opened_at = paths.now();
        let (tunnel_read, tunnel_write) = tokio::io::split(tunnel);
        let (server_read, server_write) = stream.split();
        let up = copy(tunnel_read, server_write, || activity.record());
        // What comes from the server shows that this host's own path leads there.
        let down = copy(server_read, tunnel_write, || {
            activity.record();
            paths.record_answer(server, opened_at);
        });
        let ended = tokio::select! {
            ended = async { tokio::try_join!(up, down) } => Some(ended),
            () = Self::wait_idle(&activity) => None,
        };
        if !matches!(ended, Some(Ok(_))) {
            stream.set_zero_linger()?;
        }
        Ok(ended.transpose().map(|_| ())?)
    }

    /// Waits until a forwarded connection has carried nothing for too long.
    async fn wait_idle(activity: &ActivityClock) {
        loop {
            tokio::time::sleep(IDLE_CHECK_PERIOD).await;
            if activity.idle_time() > IDLE_LIMIT {
                return;
            }
        }
    }
}

/// When a connection last carried bytes.
#[derive(Debug)]
struct ActivityClock {
    clock: HostClock,
    active_at: AtomicI64,
}

impl ActivityClock {
    fn start() -> Self {
        Self { clock: HostClock::start(), active_at: AtomicI64::new(0) }
    }

    fn record(&self) {
        self.active_at.store(self.clock.now().0, Ordering::Relaxed);
    }

    fn idle_time(&self) -> Duration {
        self.clock.now().since(TimePoint(self.active_at.load(Ordering::Relaxed)))
    }
}

/// Copies bytes up to their proper end, and then ends the other side properly.
async fn copy(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    on_received: impl Fn(),
) -> std::io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let count = from.read(&mut buffer).await?;
        if count == 0 {
            return to.shutdown().await;
        }
        on_received();
        to.write_all(&buffer[..count]).await?;
    }
}
