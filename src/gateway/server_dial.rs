//! Opens connections to backend servers: on this host's own path, or through another host if that path has failed.

use super::gateway_host::GatewayHost;
use crate::engines::DialedConnection;
use crate::keys::TimePoint;
use crate::membership::MemberState;
use crate::placement::DomainBreakers;
use crate::server_paths::{ConnectionPath, Helper, PathPlan, TunnelRefusal};
use crate::{Error, Result};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// How long one host is given to open a connection: it uses its own path, and a server within a site answers within a few
/// milliseconds. Another host is asked then.
const HELPER_TIMEOUT: Duration = Duration::from_millis(120);
/// How often tunnels through hosts that are leaving are dropped, and old failures forgotten.
const UPKEEP_PERIOD: Duration = Duration::from_millis(250);

/// Why no host opened a connection to a server.
#[derive(Debug)]
enum TunnelFailure {
    /// None that could tell anything of the server was reached.
    NoEvidence,
    /// The server refused the connection of another host, or did not answer it.
    Server(Error),
}

impl TunnelFailure {
    /// The error of two paths that failed, the own one with `direct`. A server counts as refusing connections only if no
    /// path says otherwise.
    fn combine(self, direct: Error) -> Error {
        match self {
            Self::Server(error) if direct.is_refused_connection() => error,
            Self::NoEvidence | Self::Server(_) => direct,
        }
    }
}

/// Why one host did not open a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum HelperFailure {
    /// It refused to.
    Refused(TunnelRefusal),
    /// It did not reply, or the connection to it broke.
    NoReply,
}

impl HelperFailure {
    const fn name(self) -> &'static str {
        match self {
            Self::Refused(refusal) => refusal.name(),
            Self::NoReply => "no_reply",
        }
    }
}

/// Keeps what this host knows of its paths up to date.
pub(super) async fn run_path_upkeep(host: Arc<GatewayHost>) {
    let mut ticker = tokio::time::interval(UPKEEP_PERIOD);
    ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let (mut was_cut_off, mut known_revision) = (false, 0);
    loop {
        ticker.tick().await;
        let revision = host.state().fleet.revision();
        if revision != known_revision {
            known_revision = revision;
            host.update_local_servers();
        }
        host.pool.paths().expire();
        let is_cut_off = host.pool.paths().is_cut_off();
        if is_cut_off && !was_cut_off {
            host.forget_own_failures();
        }
        was_cut_off = is_cut_off;
        if host.pool.has_tunnels() {
            let helpers = host.helpers();
            host.pool
                .retain_tunnels(|through| helpers.iter().any(|helper| helper.address == through));
        }
    }
}

impl GatewayHost {
    /// Opens a connection to a server within `timeout`.
    ///
    /// # Errors
    /// If no path leads there.
    pub(super) async fn dial_server(
        &self,
        server: SocketAddr,
        timeout: Duration,
    ) -> Result<DialedConnection> {
        match self.pool.paths().plan(server) {
            PathPlan::DirectFirst { head_start } => {
                let dialing = self.dial_direct_first(server, head_start);
                let dialed = tokio::time::timeout(timeout, dialing).await;
                dialed.unwrap_or_else(|_elapsed| Err(self.record_unopened(server, Error::Timeout)))
            }
            PathPlan::TunnelFirst => {
                let dialing = self.dial_tunnel_first(server);
                tokio::time::timeout(timeout, dialing).await.map_err(|_elapsed| Error::Timeout)?
            }
        }
    }

    /// Tries the own path, and a tunnel as well once the own path has failed or taken longer than `head_start`.
    async fn dial_direct_first(
        &self,
        server: SocketAddr,
        head_start: Duration,
    ) -> Result<DialedConnection> {
        let mut direct = std::pin::pin!(DialedConnection::open(server));
        let Ok(dialed) = tokio::time::timeout(head_start, &mut direct).await else {
            return self.race_tunnel(server, direct).await;
        };
        match dialed {
            Ok(connection) => Ok(connection),
            Err(error) => self.dial_after(server, error).await,
        }
    }

    /// Opens a tunnel while `direct`, a try of the own path, goes on; returns the connection that is open first.
    async fn race_tunnel(
        &self,
        server: SocketAddr,
        mut direct: impl Future<Output = Result<DialedConnection>> + Unpin,
    ) -> Result<DialedConnection> {
        let mut tunnel = std::pin::pin!(self.dial_tunnel(server));
        tokio::select! {
            dialed = &mut direct => match dialed {
                Ok(connection) => Ok(connection),
                Err(error) => {
                    let error = self.record_unopened(server, error);
                    tunnel.await.map_err(|failure| failure.combine(error))
                }
            },
            dialed = &mut tunnel => match dialed {
                Ok(connection) => {
                    self.record_unopened(server, Error::Timeout);
                    self.pool.paths().record_detour(server);
                    Ok(connection)
                }
                Err(failure) => {
                    let dialed = direct.await;
                    dialed.map_err(|error| failure.combine(self.record_unopened(server, error)))
                }
            },
        }
    }

    /// Opens a tunnel after the own path has failed with `error`.
    async fn dial_after(&self, server: SocketAddr, error: Error) -> Result<DialedConnection> {
        let error = self.record_unopened(server, error);
        self.dial_tunnel(server).await.map_err(|failure| failure.combine(error))
    }

    /// Opens a tunnel, or tries the own path if no host opens one.
    async fn dial_tunnel_first(&self, server: SocketAddr) -> Result<DialedConnection> {
        match self.dial_tunnel(server).await {
            Ok(connection) => Ok(connection),
            Err(failure) => {
                let dialed = DialedConnection::open(server).await;
                dialed.map_err(|error| failure.combine(self.record_unopened(server, error)))
            }
        }
    }

    /// Opens a connection through another host: one that is known to reach servers, or any if none is.
    async fn dial_tunnel(
        &self,
        server: SocketAddr,
    ) -> std::result::Result<DialedConnection, TunnelFailure> {
        let paths = self.pool.paths();
        let selected = paths.select_helpers(&self.helpers(), self.domain(), rand::random());
        let mut unproven = None;
        let mut failure = TunnelFailure::NoEvidence;
        for helper in selected {
            match self.ask_helper(helper, server, true).await {
                Ok(connection) => return Ok(connection),
                Err(HelperFailure::Refused(TunnelRefusal::ConnectionRefused)) => {
                    paths.record_server_fault(server);
                    let refused = std::io::ErrorKind::ConnectionRefused;
                    return Err(TunnelFailure::Server(Error::Io(refused.into())));
                }
                Err(HelperFailure::Refused(TunnelRefusal::Unanswered)) => {
                    failure = TunnelFailure::Server(Error::Timeout);
                }
                Err(HelperFailure::Refused(TunnelRefusal::Unproven)) => {
                    unproven = unproven.or(Some(helper));
                }
                Err(HelperFailure::Refused(_) | HelperFailure::NoReply) => {}
            }
        }
        if matches!(failure, TunnelFailure::Server(_)) {
            paths.record_server_fault(server);
            return Err(failure);
        }
        let Some(helper) = unproven else { return Err(failure) };
        self.ask_helper(helper, server, false).await.map_err(|_refusal| failure)
    }

    /// Asks one host for a connection.
    async fn ask_helper(
        &self,
        helper: SocketAddr,
        server: SocketAddr,
        needs_proof: bool,
    ) -> std::result::Result<DialedConnection, HelperFailure> {
        let (paths, started_at) = (self.pool.paths(), self.now());
        let opened = self.peers.open_tunnel(helper, server, needs_proof, HELPER_TIMEOUT).await;
        let failure = match opened {
            Ok(Ok(stream)) => {
                self.record_tunnel(server, helper, started_at);
                let path = ConnectionPath::Tunnel(helper);
                let connection = DialedConnection::start(stream, path).await;
                return connection.map_err(|_error| HelperFailure::NoReply);
            }
            Ok(Err(refusal)) => {
                paths.record_helper(helper, Some(Err(refusal)));
                HelperFailure::Refused(refusal)
            }
            Err(_) => {
                paths.record_helper(helper, None);
                HelperFailure::NoReply
            }
        };
        self.metrics().add("tunnels_not_opened", 1);
        let cause = failure.name();
        log::info!("event=tunnel_not_opened address={server} helper={helper} cause={cause}");
        Err(failure)
    }

    /// The hosts that may forward connections for this one.
    fn helpers(&self) -> Vec<Helper> {
        let state = self.state();
        let own = state.members.own().incarnation;
        let members = state.members.living().map(|(_, member)| member);
        members
            .filter(|member| member.incarnation != own && member.state == MemberState::Alive)
            .map(|member| Helper { address: member.address, domain: member.domain })
            .collect()
    }

    fn update_local_servers(&self) {
        let domain = self.domain();
        let state = self.state();
        let local = state.fleet.entries().filter(|server| server.domain == domain);
        self.pool.paths().set_local_servers(local.map(|server| server.address).collect());
    }

    /// Forgets which servers did not respond: this host's own path was at fault, and tunnels lead to them.
    fn forget_own_failures(&self) {
        let mut state = self.state();
        state.server_health.clear();
        state.domain_breakers = DomainBreakers::default();
    }

    fn record_tunnel(&self, server: SocketAddr, helper: SocketAddr, started_at: TimePoint) {
        self.pool.paths().record_helper(helper, Some(Ok(())));
        self.pool.paths().record_detour(server);
        self.metrics().add("tunnels_opened", 1);
        let took = self.now().since(started_at).as_millis();
        log::info!("event=tunnel_opened address={server} helper={helper} took_ms={took}");
    }

    /// Records that the own path to a server could not be used for a new connection, and returns the error.
    fn record_unopened(&self, server: SocketAddr, error: Error) -> Error {
        self.pool.paths().record_unopened(server, &error);
        error
    }
}
