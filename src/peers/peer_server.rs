use super::proof::prove_as_server;
use super::tunnel_client::PROOF_HEADER;
use super::{MESSAGE_LIMIT, TunnelOpening, decode, encode};
use crate::open_connections::{ConnectionGauge, ConnectionRoom, accept_connections};
use crate::server_paths::TunnelRefusal;
use crate::{Error, Result};
use bytes::{Bytes, BytesMut};
use h2::RecvStream;
use h2::server::SendResponse;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

const WINDOW_BYTES: u32 = 8 << 20;
/// A connection without a new call for this long is closed, since a silent connection would otherwise stay open forever.
/// Clients use no connection that was idle for half of this time.
const IDLE_LIMIT: Duration = Duration::from_secs(60);
/// Maximum time between two pieces of a request.
const REQUEST_PAUSE: Duration = Duration::from_secs(10);

/// Handler of other daemons' requests.
pub trait PeerHandler: Send + Sync + 'static {
    /// Request from another daemon.
    type Request: DeserializeOwned + Send;
    /// Reply to a request.
    type Reply: Serialize + Send + Sync;

    /// Handles one request; the future is dropped when the other side cancels the call.
    fn handle(self: Arc<Self>, request: Self::Request) -> impl Future<Output = Self::Reply> + Send;

    /// Serves another daemon's request for a connection to `server`, up to the end of the connection. By default no daemon
    /// opens any.
    fn tunnel(
        self: Arc<Self>,
        _server: SocketAddr,
        opening: TunnelOpening,
    ) -> impl Future<Output = Result<()>> + Send {
        async { opening.refuse(TunnelRefusal::UnknownServer) }
    }
}

/// Accepts and serves connections of other daemons; never returns. A connection is in `unproven` until the other side has
/// proved that it knows the key.
pub async fn serve_peers<H: PeerHandler>(
    listener: TcpListener,
    key: String,
    handler: Arc<H>,
    unproven: Arc<ConnectionRoom>,
) {
    let key = Arc::new(key);
    accept_connections(listener, unproven, |stream, gauge| {
        let (key, handler) = (Arc::clone(&key), Arc::clone(&handler));
        async move {
            if let Err(error) = serve_connection(stream, &key, handler, gauge).await {
                log::debug!("event=peer_connection_ended cause={error:?}");
            }
        }
    })
    .await;
}

async fn serve_connection<H: PeerHandler>(
    mut stream: TcpStream,
    key: &str,
    handler: Arc<H>,
    gauge: Arc<ConnectionGauge>,
) -> Result<()> {
    stream.set_nodelay(true)?;
    if let Err(error) = prove_as_server(&mut stream, key).await {
        gauge.record_unproven(stream.peer_addr().ok(), &error);
        return Err(error);
    }
    drop(gauge);
    // What a proven connection needs is not for those who only connect.
    Box::pin(serve_calls(stream, handler)).await
}

async fn serve_calls<H: PeerHandler>(stream: TcpStream, handler: Arc<H>) -> Result<()> {
    let mut connection = h2::server::Builder::new()
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .max_concurrent_streams(100_000)
        .handshake(stream)
        .await?;
    loop {
        let Ok(accepted) = tokio::time::timeout(IDLE_LIMIT, connection.accept()).await else {
            // Lets replies in flight finish, if the client still reads them.
            connection.graceful_shutdown();
            let rest = std::future::poll_fn(|cx| connection.poll_closed(cx));
            return tokio::time::timeout(IDLE_LIMIT, rest)
                .await
                .unwrap_or(Ok(()))
                .map_err(Error::from);
        };
        let Some(accepted) = accepted else { return Ok(()) };
        let (request, respond) = accepted?;
        let handler = Arc::clone(&handler);
        if request.method() == http::Method::CONNECT {
            tokio::spawn(serve_tunnel(request, respond, handler));
            continue;
        }
        tokio::spawn(async move {
            let _ = serve_call(request.into_body(), respond, handler).await;
        });
    }
}

async fn serve_tunnel<H: PeerHandler>(
    request: http::Request<RecvStream>,
    respond: SendResponse<Bytes>,
    handler: Arc<H>,
) {
    let server = request.uri().authority().and_then(|server| server.as_str().parse().ok());
    let needs_proof = request.headers().contains_key(PROOF_HEADER);
    let opening = TunnelOpening::new(respond, request.into_body(), needs_proof);
    let ended = match server {
        Some(server) => handler.tunnel(server, opening).await,
        None => opening.refuse(TunnelRefusal::UnknownServer),
    };
    if let Err(error) = ended {
        log::debug!("event=tunnel_ended cause=\"{error}\"");
    }
}

async fn serve_call<H: PeerHandler>(
    body: RecvStream,
    mut respond: SendResponse<Bytes>,
    handler: Arc<H>,
) -> Result<()> {
    let request: H::Request = match read_request(body).await {
        Ok(request) => request,
        Err(error) => {
            log::warn!("event=peer_frame_refused cause=\"{error}\"");
            respond.send_reset(h2::Reason::PROTOCOL_ERROR);
            return Err(error);
        }
    };
    let handling = handler.handle(request);
    let reply = tokio::select! {
        reply = handling => reply,
        // The other side cancelled the call: the handler's future is dropped here and releases its resources.
        _ = std::future::poll_fn(|cx| respond.poll_reset(cx)) => return Ok(()),
    };
    let response = http::Response::new(());
    let mut stream = respond.send_response(response, false)?;
    stream.send_data(Bytes::from(encode(&reply)?), true)?;
    Ok(())
}

async fn read_request<T: DeserializeOwned>(body: RecvStream) -> Result<T> {
    decode(&read_body(body, REQUEST_PAUSE, || {}).await?)
}

/// Reads one message of at most [`MESSAGE_LIMIT`] bytes; waits up to `pause` for each piece and calls `on_piece` for it.
pub(super) async fn read_body(
    mut body: RecvStream,
    pause: Duration,
    on_piece: impl Fn(),
) -> Result<Bytes> {
    let mut bytes = BytesMut::new();
    loop {
        let chunk = tokio::time::timeout(pause, body.data()).await;
        let Some(chunk) = chunk.map_err(|_elapsed| Error::Timeout)? else { break };
        let chunk = chunk?;
        on_piece();
        body.flow_control().release_capacity(chunk.len())?;
        if bytes.len() + chunk.len() > MESSAGE_LIMIT {
            return Err(Error::Protocol("message exceeds the size limit".to_owned()));
        }
        bytes.extend_from_slice(&chunk);
    }
    Ok(bytes.freeze())
}
