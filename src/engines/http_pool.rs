use super::PathRecord;
use super::answer_proof::AnswerProof;
use super::idle_connections::{
    CallSender, DEFAULT_KEEP_ALIVE, IdleConnections, PooledConnection, keep_alive_time,
};
use super::pooled_body::{BodySource, MAX_ANSWER_BYTES, PooledBody, ReturnPath};
use crate::connections::{ConnectionStream, ReadMeter, ResetMark, end_properly, reset_at_end};
use crate::held_bytes::ByteBudget;
use crate::server_paths::ConnectionPath;
use crate::{Error, Result};
use bytes::Bytes;
use http::header::HeaderValue;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;

pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long to wait for a pooled connection to become ready. An idle connection is ready at once; trying another one
/// after this time costs less than a round trip to a server.
const READY_TIMEOUT: Duration = Duration::from_millis(20);

/// Largest head of an answer, and the piece in which a body is read. A server repeats an id and adds a signature; proxies
/// commonly allow 8 to 16 KiB. The 2,050 connections that 4,100 descriptors allow take 33 MB if all heads are this long.
const HEAD_BYTES: usize = 16 << 10;
/// What all answers occupy together by default: four of the largest, of the 110 MB of a small host. Beside one such answer
/// another of that size is admitted, and small ones beside any number, see [`ByteBudget`].
pub const ALL_ANSWERS_BYTES: usize = 4 * MAX_ANSWER_BYTES;

/// Limits on sending a request.
#[derive(Debug, Clone, Copy)]
pub struct SendLimits {
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
    /// Maximum idle time of a pooled connection that may be used. It is limited for requests that must not be retried,
    /// because a server may close an idle connection while the request is in flight.
    pub max_idle: Duration,
}

impl Default for SendLimits {
    fn default() -> Self {
        Self { connect_timeout: CONNECT_TIMEOUT, max_idle: Duration::MAX }
    }
}

/// A connection that was opened and has carried no call.
#[derive(Debug)]
pub struct DialedConnection {
    pub(super) sender: CallSender,
    pub(super) path: ConnectionPath,
    /// Set while a call waits for its answer, and once it is given up.
    pub(super) mark: ResetMark,
    pub(super) meter: ReadMeter,
}

impl DialedConnection {
    /// Starts HTTP on a stream that leads to a server by `path`. Dropping the stream before its proper end must reset the
    /// connection to the server.
    ///
    /// # Errors
    /// If the stream is broken.
    pub async fn start(
        stream: impl AsyncRead + AsyncWrite + Unpin + Send + 'static,
        path: ConnectionPath,
    ) -> Result<Self> {
        Self::start_with(stream, path, |_| ()).await
    }

    async fn start_with<S: AsyncRead + AsyncWrite + Unpin + Send + 'static>(
        stream: S,
        path: ConnectionPath,
        end_properly: fn(&S),
    ) -> Result<Self> {
        let (mark, meter) = (ResetMark::default(), ReadMeter::default());
        let stream = ConnectionStream::new(stream, mark.clone(), end_properly);
        let stream = stream.with_meter(meter.clone());
        Ok(Self { sender: start_http(stream).await?, path, mark, meter })
    }

    /// Connects to a server on this host's own path. There is no timeout; the caller sets one.
    ///
    /// # Errors
    /// If the connection could not be opened.
    pub async fn open(address: SocketAddr) -> Result<Self> {
        let stream = open_stream(address).await?;
        reset_at_end(&stream)?;
        Self::start_with(stream, ConnectionPath::Direct, end_properly).await
    }
}

async fn open_stream(address: SocketAddr) -> Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

async fn start_http(
    stream: impl AsyncRead + AsyncWrite + Unpin + Send + 'static,
) -> Result<CallSender> {
    let (sender, connection) =
        http1::Builder::new().max_buf_size(HEAD_BYTES).handshake(TokioIo::new(stream)).await?;
    tokio::spawn(async move {
        // The calls on the connection receive the error, so the task ignores it.
        let _ = connection.await;
    });
    Ok(sender)
}

/// Pool of HTTP/1.1 connections to backend servers.
#[derive(Debug, Clone)]
pub struct HttpPool {
    idle: IdleConnections,
    answers: ByteBudget,
}

impl Default for HttpPool {
    fn default() -> Self {
        Self::bounded(ALL_ANSWERS_BYTES)
    }
}

impl HttpPool {
    /// A pool whose answers occupy at most `answer_bytes` together.
    pub fn bounded(answer_bytes: usize) -> Self {
        Self { idle: IdleConnections::default(), answers: ByteBudget::new(answer_bytes) }
    }

    /// Returns a pool without connections whose answers count against the same budget.
    pub fn emptied(&self) -> Self {
        Self { idle: IdleConnections::default(), answers: self.answers.clone() }
    }

    /// The budget of the answers that are held.
    pub fn answers(&self) -> &ByteBudget {
        &self.answers
    }

    /// Sends a request on a pooled connection or on a new one on this host's own path, see [`Self::send_through`].
    ///
    /// # Errors
    /// As [`Self::send_through`].
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        proof: AnswerProof,
        limits: SendLimits,
    ) -> Result<Response<PooledBody>> {
        let dial = async || Self::open_within(address, limits.connect_timeout).await;
        self.send_through(dial, address, request, proof, limits).await
    }

    /// Sends a request on a pooled connection that has not been idle for too long, or on a new one that `dial` opens, and
    /// checks by `proof` that the answer belongs to the request.
    ///
    /// # Errors
    /// [`Error::NotSent`] if it is certain that nothing reached the server; [`Error::Foreign`] if the answer may belong
    /// to another call. After `Foreign` and any other error, the request may have reached the server.
    pub async fn send_through(
        &self,
        dial: impl AsyncFnOnce() -> Result<DialedConnection>,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        proof: AnswerProof,
        limits: SendLimits,
    ) -> Result<Response<PooledBody>> {
        let id = proof.expected_id(&request);
        let mut request = request;
        while let Some(mut pooled) = self.take_pooled(address, proof, limits, id.as_ref()) {
            // A connection is not ready while it still sends the body of an earlier call that was answered early.
            let ready = tokio::time::timeout(READY_TIMEOUT, pooled.sender.ready()).await;
            if !matches!(ready, Ok(Ok(()))) {
                continue;
            }
            let pending = self.idle.start_call(address, &pooled);
            pooled.meter.reset();
            let result = pooled.sender.try_send_request(request).await;
            pending.complete();
            match result {
                Ok(response) => return self.accept(address, pooled, proof, id, response),
                // A message that hyper returns was never sent: the server had closed the connection.
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(error.into_error().into()),
                },
            }
        }
        let dialed = dial().await.map_err(|error| Error::NotSent(error.to_string()))?;
        let mut fresh = self.idle.begin(dialed);
        let pending = self.idle.start_call(address, &fresh);
        let result = fresh.sender.try_send_request(request).await;
        pending.complete();
        match result {
            Ok(response) => self.accept(address, fresh, proof, id, response),
            Err(mut error) => match error.take_message() {
                Some(_) => Err(Error::NotSent(error.into_error().to_string())),
                None => Err(error.into_error().into()),
            },
        }
    }

    /// Returns the addresses that have a usable pooled connection.
    pub fn warm_addresses(&self) -> HashSet<SocketAddr> {
        self.idle.addresses()
    }

    /// Opens a connection of a caller outside of the pool, without its bounds. It always ends properly.
    ///
    /// # Errors
    /// If the connection could not be opened; nothing was sent in this case.
    pub async fn connect(address: SocketAddr) -> Result<CallSender> {
        let open = async { start_http(open_stream(address).await?).await };
        tokio::time::timeout(CONNECT_TIMEOUT, open).await.map_err(|_elapsed| Error::Timeout)?
    }

    /// Adds a connection to the pool for the next call.
    pub fn keep(&self, address: SocketAddr, connection: DialedConnection) {
        let connection = self.idle.begin(connection);
        self.idle.put(address, connection, DEFAULT_KEEP_ALIVE);
    }

    /// Records that a call to `address` is silent and goes on. Connections often fall silent together without being
    /// closed, so the idle ones are closed unless another call was answered meanwhile; the call keeps its own.
    pub fn record_silence(&self, address: SocketAddr) {
        self.idle.record_silence(address);
    }

    /// Whether an answer began to arrive from `address` no longer than `within` ago, on any connection.
    pub fn has_answered(&self, address: SocketAddr, within: Duration) -> bool {
        self.idle.has_answered(address, within)
    }

    /// What the pool's connections show of this host's own paths.
    pub fn paths(&self) -> &PathRecord {
        self.idle.paths()
    }

    /// Closes the idle connections through hosts for which `is_usable` does not hold, and those in use once their call ends.
    pub fn retain_tunnels(&self, is_usable: impl Fn(SocketAddr) -> bool) {
        self.idle.retain_tunnels(is_usable);
    }

    /// Whether connections through other hosts are open, idle or in use.
    pub fn has_tunnels(&self) -> bool {
        self.idle.has_tunnels()
    }

    async fn open_within(address: SocketAddr, timeout: Duration) -> Result<DialedConnection> {
        tokio::time::timeout(timeout, DialedConnection::open(address))
            .await
            .map_err(|_elapsed| Error::Timeout)?
    }

    fn take_pooled(
        &self,
        address: SocketAddr,
        proof: AnswerProof,
        limits: SendLimits,
        id: Option<&HeaderValue>,
    ) -> Option<PooledConnection> {
        match proof {
            AnswerProof::OwnConnection => None,
            AnswerProof::Id(_) | AnswerProof::Contents(_) => {
                self.idle.take(address, limits.max_idle, id)
            }
        }
    }

    /// Checks an answer's head. The connection of an answer without proof is closed.
    fn accept(
        &self,
        address: SocketAddr,
        connection: PooledConnection,
        proof: AnswerProof,
        id: Option<HeaderValue>,
        response: Response<Incoming>,
    ) -> Result<Response<PooledBody>> {
        self.idle.record_answer(address, &connection);
        let mut connection = connection;
        proof
            .check(id.as_ref(), connection.calls + 1, &response)
            .inspect_err(|_| self.idle.record_foreign(address))?;
        connection.mark.clear();
        connection.record_call(id.as_ref());
        let keep_alive =
            proof.allows_reuse(&response).then(|| keep_alive_time(response.headers())).flatten();
        connection.meter.reset();
        let source = BodySource {
            meter: connection.meter.clone(),
            answers: self.answers.clone(),
            mark: connection.mark.clone(),
        };
        let idle = self.idle.clone();
        let return_path =
            keep_alive.map(|keep_alive| ReturnPath { idle, address, connection, keep_alive });
        Ok(PooledBody::new(response, source, return_path))
    }
}
