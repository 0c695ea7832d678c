use super::proof::prove_as_client;
use super::{decode, encode};
use crate::keys::{HostClock, TimePoint};
use crate::{Error, Result};
use bytes::Bytes;
use h2::client::SendRequest;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpStream;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// After a failed connection, calls fail at once for this long.
const PAUSE_AFTER_FAILURE: Duration = Duration::from_millis(300);
const WINDOW_BYTES: u32 = 8 << 20;

#[derive(Debug, Default)]
struct PeerLink {
    sender: Option<SendRequest<Bytes>>,
    opened_at: Option<TimePoint>,
    failed_at: Option<TimePoint>,
    refused: bool,
}

/// Calls other daemons, each over one kept connection.
#[derive(Debug)]
pub struct PeerClient {
    key: String,
    clock: HostClock,
    links: Mutex<HashMap<SocketAddr, Arc<tokio::sync::Mutex<PeerLink>>>>,
    sent_bytes: AtomicU64,
    sent_calls: AtomicU64,
}

impl PeerClient {
    /// A client that proves itself with `key`.
    pub fn new(key: &str) -> Self {
        Self {
            key: key.to_owned(),
            clock: HostClock::start(),
            links: Mutex::new(HashMap::new()),
            sent_bytes: AtomicU64::new(0),
            sent_calls: AtomicU64::new(0),
        }
    }

    /// Bytes of requests and replies, and calls made.
    pub fn traffic(&self) -> (u64, u64) {
        (self.sent_bytes.load(Ordering::Relaxed), self.sent_calls.load(Ordering::Relaxed))
    }

    /// Calls the daemon at `address` and waits for its reply at most `limit`. Dropping the call
    /// resets its stream, which the other side notices.
    ///
    /// # Errors
    /// If there is no connection, no reply in time, or a broken one.
    pub async fn call<Q: Serialize, R: DeserializeOwned>(
        &self,
        address: SocketAddr,
        request: &Q,
        limit: Duration,
    ) -> Result<R> {
        let bytes = encode(request)?;
        let opened_at = self.opened_at(address);
        let exchange = self.exchange(address, bytes);
        tokio::time::timeout(limit, exchange).await.map_err(|_elapsed| {
            let kept_ms = opened_at.map_or(0, |at| self.clock.now().since(at).as_millis());
            let waited_ms = limit.as_millis();
            log::info!(
                "event=peer_call_given_up peer={address} waited_ms={waited_ms} connection_age_ms={kept_ms}"
            );
            Error::Timeout
        })?
    }

    async fn exchange<R: DeserializeOwned>(
        &self,
        address: SocketAddr,
        bytes: Vec<u8>,
    ) -> Result<R> {
        let sender = self.sender(address).await?;
        let mut sender = sender.ready().await?;
        let request = http::Request::post("http://peer/call")
            .body(())
            .map_err(|error| Error::Protocol(error.to_string()))?;
        self.sent_bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        self.sent_calls.fetch_add(1, Ordering::Relaxed);
        let (response, mut stream) = sender.send_request(request, false)?;
        stream.send_data(Bytes::from(bytes), true)?;
        let body = super::peer_server::read_body(response.await?.into_body()).await?;
        self.sent_bytes.fetch_add(body.len() as u64, Ordering::Relaxed);
        decode(&body)
    }

    async fn sender(&self, address: SocketAddr) -> Result<SendRequest<Bytes>> {
        let link = self.link(address)?;
        let mut link = link.lock().await;
        if let Some(sender) = &link.sender {
            // A cheap poll tells whether the connection still stands.
            match sender.clone().ready().await {
                Ok(sender) => return Ok(sender),
                Err(_) => link.sender = None,
            }
        }
        let now = self.clock.now();
        if link.failed_at.is_some_and(|at| now.since(at) < PAUSE_AFTER_FAILURE) {
            return Err(paused(link.refused));
        }
        match self.connect(address).await {
            Ok(sender) => {
                *link = PeerLink {
                    sender: Some(sender.clone()),
                    opened_at: Some(now),
                    failed_at: None,
                    refused: false,
                };
                Ok(sender)
            }
            Err(error) => {
                link.refused = is_refusal(&error);
                link.failed_at = Some(now);
                Err(error)
            }
        }
    }

    /// When the connection that a call would use was opened, if there is one.
    fn opened_at(&self, address: SocketAddr) -> Option<TimePoint> {
        let link = self.link(address).ok()?;
        let link = link.try_lock().ok()?;
        link.sender.as_ref().and(link.opened_at)
    }

    fn link(&self, address: SocketAddr) -> Result<Arc<tokio::sync::Mutex<PeerLink>>> {
        let mut links = self.links.lock().map_err(|_poison| Error::Timeout)?;
        Ok(Arc::clone(links.entry(address).or_default()))
    }

    async fn connect(&self, address: SocketAddr) -> Result<SendRequest<Bytes>> {
        let connect = async {
            let mut stream = TcpStream::connect(address).await?;
            stream.set_nodelay(true)?;
            prove_as_client(&mut stream, &self.key).await?;
            let (sender, connection) = h2::client::Builder::new()
                .initial_window_size(WINDOW_BYTES)
                .initial_connection_window_size(WINDOW_BYTES)
                .handshake(stream)
                .await?;
            tokio::spawn(async move {
                let _ = connection.await;
            });
            Ok(sender)
        };
        tokio::time::timeout(CONNECT_TIMEOUT, connect).await.map_err(|_elapsed| Error::Timeout)?
    }
}

fn is_refusal(error: &Error) -> bool {
    matches!(error, Error::Io(io) if io.kind() == std::io::ErrorKind::ConnectionRefused)
}

fn paused(refused: bool) -> Error {
    if refused { Error::Io(std::io::ErrorKind::ConnectionRefused.into()) } else { Error::Timeout }
}
