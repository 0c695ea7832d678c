use super::link_driver::{LinkDoubt, LinkUse, drive_link};
use super::peer_link::{PeerConnection, PeerLink};
use super::proof::prove_as_client;
use super::{decode, encode};
use crate::connections::{ConnectionStream, end_properly, reset_at_end};
use crate::keys::{HostClock, TimePoint};
use crate::{Error, Result};
use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpStream;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// After a failed connection attempt, calls fail immediately for this long.
const FAILURE_BACKOFF: Duration = Duration::from_millis(300);
const WINDOW_BYTES: u32 = 8 << 20;

/// Timeouts of a call with a large reply.
#[derive(Debug, Clone, Copy)]
pub struct PeerTimeouts {
    /// Maximum time until the reply begins.
    pub reply: Duration,
    /// Maximum time between two pieces of the reply, regardless of their number: a small host's link transfers one
    /// megabyte a second, and several concurrent transfers take several times as long.
    pub pause: Duration,
}

/// Client for calls to other daemons; keeps one connection to each.
#[derive(Debug)]
pub struct PeerClient {
    key: String,
    clock: HostClock,
    links: Mutex<HashMap<SocketAddr, Arc<tokio::sync::Mutex<PeerLink>>>>,
    /// Start of the last call that found a kept connection silent.
    silent_at: Mutex<Option<TimePoint>>,
    transferred_bytes: AtomicU64,
    sent_calls: AtomicU64,
}

impl PeerClient {
    /// Creates a client that authenticates itself with `key`.
    pub fn new(key: &str) -> Self {
        Self {
            key: key.to_owned(),
            clock: HostClock::start(),
            links: Mutex::new(HashMap::new()),
            silent_at: Mutex::new(None),
            transferred_bytes: AtomicU64::new(0),
            sent_calls: AtomicU64::new(0),
        }
    }

    /// Number of bytes of requests and replies, and number of calls.
    pub fn traffic(&self) -> (u64, u64) {
        (self.transferred_bytes.load(Ordering::Relaxed), self.sent_calls.load(Ordering::Relaxed))
    }

    /// Calls the daemon at `address` and waits at most `limit` for its reply. Dropping the call resets
    /// its stream, which cancels the request on the other side.
    ///
    /// # Errors
    /// If the connection fails, or if the reply is late or invalid.
    pub async fn call<Q: Serialize, R: DeserializeOwned>(
        &self,
        address: SocketAddr,
        request: &Q,
        limit: Duration,
    ) -> Result<R> {
        let timeouts = PeerTimeouts { reply: limit, pause: limit };
        let bytes = encode(request)?;
        let started_at = self.clock.now();
        let connected = tokio::time::timeout(limit, self.connection(address)).await;
        let connection = connected.map_err(|_elapsed| Error::Timeout)??;
        let left = limit.saturating_sub(self.clock.now().since(started_at));
        let exchange = self.exchange(&connection, bytes, timeouts, || {});
        let reply = tokio::time::timeout(left, exchange).await;
        let reply = reply.unwrap_or(Err(Error::Timeout));
        self.discard_on_error(address, &connection, started_at, reply.as_ref().err()).await;
        decode(&reply?)
    }

    /// Calls the daemon at `address` for a large reply; `on_piece` runs for each piece. If a call on a kept connection
    /// fails, the call is retried once on a new connection, so the request must be safe to repeat.
    ///
    /// # Errors
    /// If the connection fails, or if the reply is late or invalid.
    pub async fn fetch<Q: Serialize, R: DeserializeOwned>(
        &self,
        address: SocketAddr,
        request: &Q,
        timeouts: PeerTimeouts,
        on_piece: impl Fn(),
    ) -> Result<R> {
        let bytes = encode(request)?;
        let started_at = self.clock.now();
        let connection = self.connection(address).await?;
        let reply = self.exchange(&connection, bytes.clone(), timeouts, &on_piece).await;
        self.discard_on_error(address, &connection, started_at, reply.as_ref().err()).await;
        if reply.is_ok() || connection.opened_at >= started_at {
            return decode(&reply?);
        }
        self.discard(address, &connection).await;
        let started_at = self.clock.now();
        let connection = self.connection(address).await?;
        let reply = self.exchange(&connection, bytes, timeouts, &on_piece).await;
        self.discard_on_error(address, &connection, started_at, reply.as_ref().err()).await;
        decode(&reply?)
    }

    async fn exchange(
        &self,
        connection: &PeerConnection,
        bytes: Vec<u8>,
        timeouts: PeerTimeouts,
        on_piece: impl Fn(),
    ) -> Result<Bytes> {
        let mut sender = within(timeouts.reply, connection.sender.clone().ready()).await??;
        let request = http::Request::post("http://peer/call")
            .body(())
            .map_err(|error| Error::Protocol(error.to_string()))?;
        self.transferred_bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        self.sent_calls.fetch_add(1, Ordering::Relaxed);
        let mut link_use = LinkUse::begin(&connection.doubt);
        let (response, mut stream) = sender.send_request(request, false)?;
        stream.send_data(Bytes::from(bytes), true)?;
        let response = within(timeouts.reply, response).await??;
        link_use.settle();
        let on_received = || {
            connection.record_received(&self.clock);
            on_piece();
        };
        on_received();
        let body = super::peer_server::read_body(response.into_body(), timeouts.pause, on_received)
            .await?;
        self.transferred_bytes.fetch_add(body.len() as u64, Ordering::Relaxed);
        Ok(body)
    }

    /// Discards a connection that failed, or that was silent while a call waited for its reply. A connection can become
    /// silent without being closed, and nothing else would detect that.
    pub(super) async fn discard_on_error(
        &self,
        address: SocketAddr,
        connection: &PeerConnection,
        started_at: TimePoint,
        error: Option<&Error>,
    ) {
        let Some(error) = error else { return };
        let is_timeout = matches!(error, Error::Timeout);
        let was_kept = connection.opened_at < started_at;
        if is_timeout && was_kept && connection.received_at() >= started_at {
            return;
        }
        let now = self.clock.now();
        log::info!(
            "event=peer_call_given_up peer={address} waited_ms={} connection_age_ms={} cause=\"{error}\"",
            now.since(started_at).as_millis(),
            now.since(connection.opened_at).as_millis()
        );
        self.discard(address, connection).await;
        if is_timeout && was_kept {
            *self.silent_at.lock().unwrap_or_else(PoisonError::into_inner) = Some(started_at);
        }
    }

    async fn discard(&self, address: SocketAddr, connection: &PeerConnection) {
        if let Ok(link) = self.link(address) {
            link.lock().await.discard(connection);
        }
    }

    pub(super) async fn connection(&self, address: SocketAddr) -> Result<PeerConnection> {
        let silent_at = *self.silent_at.lock().unwrap_or_else(PoisonError::into_inner);
        let link = self.link(address)?;
        let mut link = link.lock().await;
        if let Some(connection) = link.usable_connection(self.clock.now(), silent_at) {
            // Polling readiness is a cheap check whether the connection is closed.
            match connection.sender.clone().ready().await {
                Ok(_) => return Ok(connection),
                Err(_) => link.discard(&connection),
            }
        }
        let now = self.clock.now();
        if link.failed_at.is_some_and(|at| now.since(at) < FAILURE_BACKOFF) {
            return Err(backoff_error(link.refused));
        }
        match self.connect(address).await {
            Ok(connection) => {
                link.keep(connection.clone());
                Ok(connection)
            }
            Err(error) => {
                link.refused = is_refusal(&error);
                link.failed_at = Some(now);
                Err(error)
            }
        }
    }

    pub(super) fn now(&self) -> TimePoint {
        self.clock.now()
    }

    pub(super) fn record_received(&self, connection: &PeerConnection) {
        connection.record_received(&self.clock);
    }

    fn link(&self, address: SocketAddr) -> Result<Arc<tokio::sync::Mutex<PeerLink>>> {
        let mut links = self.links.lock().map_err(|_poison| Error::Timeout)?;
        Ok(Arc::clone(links.entry(address).or_default()))
    }

    async fn connect(&self, address: SocketAddr) -> Result<PeerConnection> {
        let connect = async {
            let mut stream = TcpStream::connect(address).await?;
            stream.set_nodelay(true)?;
            reset_at_end(&stream)?;
            prove_as_client(&mut stream, &self.key).await?;
            let doubt = LinkDoubt::default();
            let stream = ConnectionStream::new(stream, doubt.mark(), end_properly);
            let (sender, connection) = h2::client::Builder::new()
                .initial_window_size(WINDOW_BYTES)
                .initial_connection_window_size(WINDOW_BYTES)
                .handshake(stream)
                .await?;
            tokio::spawn(drive_link(connection, doubt.clone()));
            Ok(PeerConnection::opened(sender, doubt, self.clock.now()))
        };
        within(CONNECT_TIMEOUT, connect).await?
    }
}

async fn within<T>(limit: Duration, work: impl Future<Output = T>) -> Result<T> {
    tokio::time::timeout(limit, work).await.map_err(|_elapsed| Error::Timeout)
}

fn is_refusal(error: &Error) -> bool {
    matches!(error, Error::Io(io) if io.kind() == std::io::ErrorKind::ConnectionRefused)
}

fn backoff_error(refused: bool) -> Error {
    if refused { Error::Io(std::io::ErrorKind::ConnectionRefused.into()) } else { Error::Timeout }
}
