use super::peer_link::{PeerConnection, PeerLink};
use super::proof::prove_as_client;
use super::{decode, encode};
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
/// After a failed connection, calls fail at once for this long.
const PAUSE_AFTER_FAILURE: Duration = Duration::from_millis(300);
const WINDOW_BYTES: u32 = 8 << 20;

/// How long a call may take whose reply may be long.
#[derive(Debug, Clone, Copy)]
pub struct PeerTimeouts {
    /// Until the reply begins.
    pub reply: Duration,
    /// Between two pieces of it, however many there are: a small host's link carries a megabyte in a second, and
    /// several at once in several.
    pub pause: Duration,
}

/// Calls other daemons, each over one kept connection.
#[derive(Debug)]
pub struct PeerClient {
    key: String,
    clock: HostClock,
    links: Mutex<HashMap<SocketAddr, Arc<tokio::sync::Mutex<PeerLink>>>>,
    /// When a connection was last found silent.
    silent_at: Mutex<Option<TimePoint>>,
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
            silent_at: Mutex::new(None),
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
        let patience = PeerTimeouts { reply: limit, pause: limit };
        let bytes = encode(request)?;
        let began = self.clock.now();
        let connected = tokio::time::timeout(limit, self.connection(address)).await;
        let connection = connected.map_err(|_elapsed| Error::Timeout)??;
        let left = limit.saturating_sub(self.clock.now().since(began));
        let exchange = self.exchange(&connection, bytes, patience, || {});
        let reply = tokio::time::timeout(left, exchange).await;
        let reply = reply.unwrap_or(Err(Error::Timeout));
        self.note_end(address, &connection, began, reply.as_ref().err()).await;
        decode(&reply?)
    }

    /// The same for a reply that may be long and may be asked for twice: `on_piece` hears of its pieces. If the call
    /// meets a kept connection that is silent, it goes on once with a new one.
    ///
    /// # Errors
    /// If there is no connection, no reply in time, or a broken one.
    pub async fn fetch<Q: Serialize, R: DeserializeOwned>(
        &self,
        address: SocketAddr,
        request: &Q,
        patience: PeerTimeouts,
        on_piece: impl Fn(),
    ) -> Result<R> {
        let bytes = encode(request)?;
        let began = self.clock.now();
        let connection = self.connection(address).await?;
        let reply = self.exchange(&connection, bytes.clone(), patience, &on_piece).await;
        self.note_end(address, &connection, began, reply.as_ref().err()).await;
        if reply.is_ok() || connection.opened_at >= began {
            return decode(&reply?);
        }
        self.give_up(address, &connection).await;
        let began = self.clock.now();
        let connection = self.connection(address).await?;
        let reply = self.exchange(&connection, bytes, patience, &on_piece).await;
        self.note_end(address, &connection, began, reply.as_ref().err()).await;
        decode(&reply?)
    }

    async fn exchange(
        &self,
        connection: &PeerConnection,
        bytes: Vec<u8>,
        patience: PeerTimeouts,
        on_piece: impl Fn(),
    ) -> Result<Bytes> {
        let mut sender = within(patience.reply, connection.sender.clone().ready()).await??;
        let request = http::Request::post("http://peer/call")
            .body(())
            .map_err(|error| Error::Protocol(error.to_string()))?;
        self.sent_bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        self.sent_calls.fetch_add(1, Ordering::Relaxed);
        let (response, mut stream) = sender.send_request(request, false)?;
        stream.send_data(Bytes::from(bytes), true)?;
        let response = within(patience.reply, response).await??;
        let heard = || {
            connection.note_heard(&self.clock);
            on_piece();
        };
        heard();
        let body =
            super::peer_server::read_body(response.into_body(), patience.pause, heard).await?;
        self.sent_bytes.fetch_add(body.len() as u64, Ordering::Relaxed);
        Ok(body)
    }

    /// A connection that failed, or on which nothing came while a call waited, is not used again. Nothing else would
    /// ever tell: a connection can fall silent without an end.
    async fn note_end(
        &self,
        address: SocketAddr,
        connection: &PeerConnection,
        began: TimePoint,
        error: Option<&Error>,
    ) {
        let Some(error) = error else { return };
        let is_timeout = matches!(error, Error::Timeout);
        let was_kept = connection.opened_at < began;
        if is_timeout && was_kept && connection.heard_at() >= began {
            return;
        }
        let now = self.clock.now();
        log::info!(
            "event=peer_call_given_up peer={address} waited_ms={} connection_age_ms={} cause=\"{error}\"",
            now.since(began).as_millis(),
            now.since(connection.opened_at).as_millis()
        );
        self.give_up(address, connection).await;
        if is_timeout && was_kept {
            *self.silent_at.lock().unwrap_or_else(PoisonError::into_inner) = Some(began);
        }
    }

    async fn give_up(&self, address: SocketAddr, connection: &PeerConnection) {
        if let Ok(link) = self.link(address) {
            link.lock().await.give_up(connection);
        }
    }

    async fn connection(&self, address: SocketAddr) -> Result<PeerConnection> {
        let silent_at = *self.silent_at.lock().unwrap_or_else(PoisonError::into_inner);
        let link = self.link(address)?;
        let mut link = link.lock().await;
        if let Some(connection) = link.trusted(self.clock.now(), silent_at) {
            // A cheap poll tells whether the connection has ended.
            match connection.sender.clone().ready().await {
                Ok(_) => return Ok(connection),
                Err(_) => link.give_up(&connection),
            }
        }
        let now = self.clock.now();
        if link.failed_at.is_some_and(|at| now.since(at) < PAUSE_AFTER_FAILURE) {
            return Err(paused(link.refused));
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

    fn link(&self, address: SocketAddr) -> Result<Arc<tokio::sync::Mutex<PeerLink>>> {
        let mut links = self.links.lock().map_err(|_poison| Error::Timeout)?;
        Ok(Arc::clone(links.entry(address).or_default()))
    }

    async fn connect(&self, address: SocketAddr) -> Result<PeerConnection> {
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
                // Its calls see the error; the task has nobody to tell.
                let _ = connection.await;
            });
            Ok(PeerConnection::opened(sender, self.clock.now()))
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

fn paused(refused: bool) -> Error {
    if refused { Error::Io(std::io::ErrorKind::ConnectionRefused.into()) } else { Error::Timeout }
}
