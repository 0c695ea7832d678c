use super::proof::prove_as_server;
use super::{MESSAGE_LIMIT, decode, encode};
use crate::{Error, Result};
use bytes::{Bytes, BytesMut};
use h2::RecvStream;
use h2::server::SendResponse;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::sync::Arc;
use tokio::net::{TcpListener, TcpStream};

const WINDOW_BYTES: u32 = 8 << 20;

/// Handles requests of other daemons.
pub trait PeerHandler: Send + Sync + 'static {
    /// What other daemons ask.
    type Request: DeserializeOwned + Send;
    /// What they are answered.
    type Reply: Serialize + Send + Sync;

    /// Answers one request; dropped when the other side gives the call up.
    fn handle(self: Arc<Self>, request: Self::Request) -> impl Future<Output = Self::Reply> + Send;
}

/// Serves peers until the listener fails.
pub async fn serve_peers<H: PeerHandler>(listener: TcpListener, key: String, handler: Arc<H>) {
    let key = Arc::new(key);
    loop {
        let Ok((stream, address)) = listener.accept().await else {
            tokio::time::sleep(std::time::Duration::from_millis(10)).await;
            continue;
        };
        let (key, handler) = (Arc::clone(&key), Arc::clone(&handler));
        tokio::spawn(async move {
            if let Err(error) = serve_connection(stream, &key, handler).await {
                log::debug!("event=peer_connection_ended peer={address} cause={error:?}");
            }
        });
    }
}

async fn serve_connection<H: PeerHandler>(
    mut stream: TcpStream,
    key: &str,
    handler: Arc<H>,
) -> Result<()> {
    stream.set_nodelay(true)?;
    if let Err(error) = prove_as_server(&mut stream, key).await {
        log::warn!("event=peer_unproven peer={:?} cause=\"{error}\"", stream.peer_addr());
        return Err(error);
    }
    let mut connection = h2::server::Builder::new()
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .max_concurrent_streams(100_000)
        .handshake(stream)
        .await?;
    while let Some(accepted) = connection.accept().await {
        let (request, respond) = accepted?;
        let handler = Arc::clone(&handler);
        tokio::spawn(async move {
            let _ = serve_call(request.into_body(), respond, handler).await;
        });
    }
    Ok(())
}

async fn serve_call<H: PeerHandler>(
    body: RecvStream,
    mut respond: SendResponse<Bytes>,
    handler: Arc<H>,
) -> Result<()> {
    let request: H::Request = match read_body(body).await.and_then(|bytes| decode(&bytes)) {
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
        // The other side gave up: the handler's future is dropped here and releases what it held.
        _ = std::future::poll_fn(|cx| respond.poll_reset(cx)) => return Ok(()),
    };
    let response = http::Response::new(());
    let mut stream = respond.send_response(response, false)?;
    stream.send_data(Bytes::from(encode(&reply)?), true)?;
    Ok(())
}

/// Reads one message of at most [`MESSAGE_LIMIT`] bytes.
pub(super) async fn read_body(mut body: RecvStream) -> Result<Bytes> {
    let mut bytes = BytesMut::new();
    while let Some(chunk) = body.data().await {
        let chunk = chunk?;
        body.flow_control().release_capacity(chunk.len())?;
        if bytes.len() + chunk.len() > MESSAGE_LIMIT {
            return Err(Error::Protocol("a message is too long".to_owned()));
        }
        bytes.extend_from_slice(&chunk);
    }
    Ok(bytes.freeze())
}
