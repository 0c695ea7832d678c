use super::idle_connections::{IdleConnections, PooledConnection};
use crate::connections::{ReadMeter, ResetMark};
use crate::held_bytes::{BodyBuffer, ByteBudget};
use crate::{Error, Result};
use bytes::Bytes;
use http::header::TRANSFER_ENCODING;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::{Body, Frame, Incoming};
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

/// Longest body of an answer that is collected: as long as the longest request that the deployments allow (4,194,304
/// bytes). Answers of plain services have some 800 bytes there, results of first reads and holds fewer.
pub const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Where a body comes from, and the budget that it counts against.
#[derive(Debug)]
pub(super) struct BodySource {
    pub meter: ReadMeter,
    pub answers: ByteBudget,
    /// Set if the body is dropped before its end: a server may answer before it has received the whole request.
    pub mark: ResetMark,
}

/// How a connection is returned to the pool.
#[derive(Debug)]
pub(super) struct ReturnPath {
    pub idle: IdleConnections,
    pub address: SocketAddr,
    pub connection: PooledConnection,
    pub keep_alive: Duration,
}

/// A response body. Its connection is closed unless the reader confirms that the answer belongs to its call.
#[derive(Debug)]
pub struct PooledBody {
    incoming: Incoming,
    source: BodySource,
    return_path: Option<ReturnPath>,
    has_explicit_end: bool,
    is_complete: bool,
}

impl PooledBody {
    pub(super) fn new(
        response: Response<Incoming>,
        source: BodySource,
        return_path: Option<ReturnPath>,
    ) -> Response<Self> {
        let has_explicit_end = has_explicit_end(&response);
        response.map(|incoming| Self {
            incoming,
            source,
            return_path,
            has_explicit_end,
            is_complete: false,
        })
    }

    /// Whether the end of the answer is explicit, not only implied by the end of its connection.
    pub fn has_explicit_end(&self) -> bool {
        self.has_explicit_end
    }

    /// The budget that the parts of this body count against.
    pub fn budget(&self) -> &ByteBudget {
        &self.source.answers
    }

    /// Reads the whole body of an answer that is known to belong to its call, up to [`MAX_ANSWER_BYTES`].
    ///
    /// # Errors
    /// [`Error::TooLong`] if the body is longer or the budget of all answers does not admit it; any other error if the
    /// connection breaks first.
    pub async fn read_all(self) -> Result<Bytes> {
        self.read_with(|bytes| Ok(bytes.clone())).await
    }

    /// Reads the whole body, up to [`MAX_ANSWER_BYTES`]. The connection is reused only if `read` recognises the answer as
    /// belonging to its call.
    ///
    /// # Errors
    /// As [`Self::read_all`], or if `read` fails.
    pub async fn read_with<T>(self, read: impl FnOnce(&Bytes) -> Result<T>) -> Result<T> {
        self.read_limited(MAX_ANSWER_BYTES, |_| Duration::MAX, read).await
    }

    /// Like [`Self::read_with`], but for a body of at most `max_bytes`. `timeout` returns how long to wait for the next
    /// chunk, given the number of bytes received so far.
    ///
    /// # Errors
    /// [`Error::TooLong`] as for [`Self::read_all`], [`Error::Timeout`] if a chunk does not arrive in time; any other error
    /// if the connection breaks first, or `read` fails.
    pub async fn read_limited<T>(
        mut self,
        max_bytes: usize,
        timeout: impl Fn(usize) -> Duration,
        read: impl FnOnce(&Bytes) -> Result<T>,
    ) -> Result<T> {
        let stated_bytes = usize::try_from(self.incoming.size_hint().lower()).unwrap_or(usize::MAX);
        let mut buffer = BodyBuffer::new(&self.source.answers, max_bytes);
        loop {
            if stated_bytes > max_bytes {
                return Err(Error::TooLong { received: buffer.len() });
            }
            let next = tokio::time::timeout(timeout(buffer.len()), self.frame()).await;
            let Some(frame) = next.map_err(|_elapsed| Error::Timeout)? else { break };
            if let Ok(chunk) = frame?.into_data() {
                buffer.push(&chunk)?;
            }
        }
        let bytes = buffer.freeze();
        let value = read(&bytes)?;
        self.keep_connection();
        Ok(value)
    }

    /// Returns the connection to the pool if the body was read to its end. The answer must be known to belong to its
    /// call.
    pub fn keep_connection(&mut self) {
        if let Some(path) = self.return_path.take().filter(|_| self.is_complete) {
            path.idle.put(path.address, path.connection, path.keep_alive);
        }
    }
}

impl Drop for PooledBody {
    fn drop(&mut self) {
        if !self.is_complete {
            self.source.mark.set();
        }
    }
}

/// Whether an answer has an explicit end: a length or chunked encoding. Only then is a truncated answer detected.
fn has_explicit_end(response: &Response<Incoming>) -> bool {
    let is_chunked = response.headers().contains_key(TRANSFER_ENCODING);
    is_chunked || response.body().size_hint().exact().is_some()
}

impl Body for PooledBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Frame<Bytes>, hyper::Error>>> {
        let polled = Pin::new(&mut self.incoming).poll_frame(cx);
        match &polled {
            Poll::Ready(None) => self.is_complete = true,
            Poll::Ready(Some(Ok(_))) => self.source.meter.reset(),
            Poll::Ready(Some(Err(_))) | Poll::Pending => {}
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        // Always false, so that bodies are polled to `None` and `is_complete` is set.
        false
    }
}
