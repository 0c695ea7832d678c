use crate::{Error, Result};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, Incoming};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
const IDLE_PER_ADDRESS: usize = 64;
/// Assumed of a server that does not say how long it keeps idle connections.
const UNSTATED_KEEP: Duration = Duration::from_secs(2);
/// A connection is given up this long before its server closes it, for a request on the way.
const KEEP_MARGIN: Duration = Duration::from_millis(700);

type Sender = SendRequest<Full<Bytes>>;
type IdleConnections = Arc<Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>>;

#[derive(Debug)]
struct IdleConnection {
    sender: Sender,
    /// Calls that it has carried.
    calls: u32,
    since: Instant,
    /// How long its server keeps it.
    keep: Duration,
}

impl IdleConnection {
    /// Whether its server keeps it long enough for one more request.
    fn is_usable(&self) -> bool {
        self.since.elapsed() + KEEP_MARGIN.min(self.keep / 2) < self.keep
    }
}

/// How a request may be sent.
#[derive(Debug, Clone, Copy)]
pub struct SendLimits {
    /// Longest time that opening a connection may take.
    pub connect: Duration,
    /// Longest rest of a kept connection that may be used; for requests that must not be repeated,
    /// since a server may close a resting connection while the request is on its way.
    pub rested: Duration,
}

impl Default for SendLimits {
    fn default() -> Self {
        Self { connect: CONNECT_TIMEOUT, rested: Duration::MAX }
    }
}

/// Keeps HTTP/1.1 connections to backend servers open between calls.
#[derive(Debug, Clone, Default)]
pub struct HttpPool {
    idle: IdleConnections,
}

impl HttpPool {
    /// Sends a request on a kept connection, or on a new one.
    ///
    /// # Errors
    /// If no connection could be made or the call failed.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<PooledBody>> {
        self.send_limited(address, request, SendLimits::default()).await
    }

    /// Sends a request on a kept connection that has not rested for too long, or on a new one.
    ///
    /// # Errors
    /// [`Error::NotSent`] if certainly nothing reached the server; any other error if it may have.
    pub async fn send_limited(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        limits: SendLimits,
    ) -> Result<Response<PooledBody>> {
        let mut request = request;
        while let Some((mut sender, calls)) = self.take_idle(address, limits.rested) {
            if sender.ready().await.is_err() {
                continue;
            }
            match sender.try_send_request(request).await {
                Ok(response) => return Ok(self.wrap(address, sender, calls + 1, response)),
                // A message handed back was never sent: the server had closed the connection.
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(error.into_error().into()),
                },
            }
        }
        let mut sender = Self::connect_within(address, limits.connect)
            .await
            .map_err(|error| Error::NotSent(error.to_string()))?;
        match sender.try_send_request(request).await {
            Ok(response) => Ok(self.wrap(address, sender, 1, response)),
            Err(mut error) => match error.take_message() {
                Some(_) => Err(Error::NotSent(error.into_error().to_string())),
                None => Err(error.into_error().into()),
            },
        }
    }

    /// Addresses to which a kept connection can be used now.
    pub fn warm_addresses(&self) -> HashSet<SocketAddr> {
        let Ok(idle) = self.idle.lock() else { return HashSet::new() };
        let warm = |kept: &Vec<IdleConnection>| kept.iter().any(IdleConnection::is_usable);
        idle.iter().filter(|(_, kept)| warm(kept)).map(|(address, _)| *address).collect()
    }

    /// Opens a connection that no other call has used.
    ///
    /// # Errors
    /// If it could not be opened; then certainly nothing was sent.
    pub async fn connect(address: SocketAddr) -> Result<Sender> {
        Self::connect_within(address, CONNECT_TIMEOUT).await
    }

    async fn connect_within(address: SocketAddr, limit: Duration) -> Result<Sender> {
        let connecting = TcpStream::connect(address);
        let stream =
            tokio::time::timeout(limit, connecting).await.map_err(|_elapsed| Error::Timeout)??;
        stream.set_nodelay(true)?;
        let (sender, connection) = handshake(TokioIo::new(stream)).await?;
        tokio::spawn(async move {
            // Its calls see the error; the task has nobody to tell.
            let _ = connection.await;
        });
        Ok(sender)
    }

    /// The connection that rested least, unless it has rested for too long.
    fn take_idle(&self, address: SocketAddr, rested: Duration) -> Option<(Sender, u32)> {
        let mut idle = self.idle.lock().ok()?;
        let kept = idle.get_mut(&address)?;
        kept.retain(IdleConnection::is_usable);
        let newest = kept.last()?;
        if newest.since.elapsed() > rested {
            return None;
        }
        kept.pop().map(|connection| (connection.sender, connection.calls))
    }

    fn wrap(
        &self,
        address: SocketAddr,
        sender: Sender,
        calls: u32,
        response: Response<Incoming>,
    ) -> Response<PooledBody> {
        let keep = stated_keep(response.headers());
        let back = keep.map(|keep| (Arc::clone(&self.idle), address, sender, keep));
        response.map(|incoming| PooledBody { incoming, back, calls })
    }
}

/// How long a server keeps the connection of this answer; `None` if it closes it.
fn stated_keep(headers: &http::HeaderMap) -> Option<Duration> {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    if text("connection").is_some_and(|value| value.to_ascii_lowercase().contains("close")) {
        return None;
    }
    let Some(stated) = text("keep-alive") else {
        return Some(UNSTATED_KEEP);
    };
    let digits: String = stated
        .chars()
        .skip_while(|character| !character.is_ascii_digit())
        .take_while(char::is_ascii_digit)
        .collect();
    Some(digits.parse().map_or(UNSTATED_KEEP, Duration::from_secs))
}

/// A response body that gives its connection back once it was read to the end.
#[derive(Debug)]
pub struct PooledBody {
    incoming: Incoming,
    back: Option<(IdleConnections, SocketAddr, Sender, Duration)>,
    calls: u32,
}

impl PooledBody {
    /// Reads the whole body.
    ///
    /// # Errors
    /// If the connection breaks first.
    pub async fn read_all(self) -> Result<Bytes> {
        Ok(self.collect().await?.to_bytes())
    }

    /// Calls that its connection has carried, this one included.
    pub fn calls(&self) -> u32 {
        self.calls
    }

    /// Closes the connection instead of keeping it for other calls.
    pub fn discard(mut self) {
        self.back = None;
    }

    fn give_back(&mut self) {
        if let Some((idle, address, sender, keep)) = self.back.take()
            && let Ok(mut idle) = idle.lock()
        {
            let senders = idle.entry(address).or_default();
            if senders.len() < IDLE_PER_ADDRESS && !sender.is_closed() {
                let (since, calls) = (Instant::now(), self.calls);
                senders.push(IdleConnection { sender, calls, since, keep });
            }
        }
    }
}

impl Body for PooledBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Frame<Bytes>, hyper::Error>>> {
        let polled = Pin::new(&mut self.incoming).poll_frame(cx);
        if matches!(polled, Poll::Ready(None)) {
            self.give_back();
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        // Bodies are always polled to `None`, so that the connection comes back.
        false
    }
}
