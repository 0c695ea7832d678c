//! Opens connections to backend servers through other daemons, with the method that HTTP/2 has for it.

use super::link_driver::LinkUse;
use super::peer_client::PeerClient;
use super::peer_link::PeerConnection;
use super::tunnel_stream::TunnelStream;
use crate::server_paths::TunnelRefusal;
use crate::{Error, Result};
use std::net::SocketAddr;
use std::time::Duration;

/// Header of a request for a connection that is to be opened only by a daemon that is known to reach servers.
pub(super) const PROOF_HEADER: &str = "tealcleat-needs-proof";

impl PeerClient {
    /// Asks the daemon at `address` for a connection to `server`, and waits at most `limit`. Returns the refusal if the
    /// daemon does not open one; with `needs_proof`, it does so only if it is known to reach servers.
    ///
    /// # Errors
    /// If the daemon cannot be reached or does not reply in time.
    pub async fn open_tunnel(
        &self,
        address: SocketAddr,
        server: SocketAddr,
        needs_proof: bool,
        limit: Duration,
    ) -> Result<std::result::Result<TunnelStream, TunnelRefusal>> {
        let started_at = self.now();
        let connected = tokio::time::timeout(limit, self.connection(address)).await;
        let connection = connected.map_err(|_elapsed| Error::Timeout)??;
        let left = limit.saturating_sub(self.now().since(started_at));
        let request = self.request_tunnel(&connection, server, needs_proof);
        let opened = tokio::time::timeout(left, request).await;
        let opened = opened.unwrap_or(Err(Error::Timeout));
        self.discard_on_error(address, &connection, started_at, opened.as_ref().err()).await;
        opened
    }

    async fn request_tunnel(
        &self,
        connection: &PeerConnection,
        server: SocketAddr,
        needs_proof: bool,
    ) -> Result<std::result::Result<TunnelStream, TunnelRefusal>> {
        let mut sender = connection.sender.clone().ready().await?;
        let mut request =
            http::Request::builder().method(http::Method::CONNECT).uri(server.to_string());
        if needs_proof {
            request = request.header(PROOF_HEADER, "1");
        }
        let request = request.body(()).map_err(|error| Error::Protocol(error.to_string()))?;
        let mut link_use = LinkUse::begin(&connection.doubt);
        let (response, stream) = sender.send_request(request, false)?;
        let response = response.await?;
        self.record_received(connection);
        let status = response.status();
        if !status.is_success() {
            link_use.settle();
            return Ok(Err(TunnelRefusal::from_status(status)));
        }
        Ok(Ok(TunnelStream::new(stream, response.into_body(), Some(link_use))))
    }
}
