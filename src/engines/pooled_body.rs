use super::idle_connections::{IdleConnections, PooledConnection};
use crate::{Error, Result};
use bytes::{Bytes, BytesMut};
use http::header::TRANSFER_ENCODING;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::{Body, Frame, Incoming};
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

/// Where a connection goes back to.
#[derive(Debug)]
pub(super) struct ReturnPath {
    pub idle: IdleConnections,
    pub address: SocketAddr,
    pub connection: PooledConnection,
    pub keep: Duration,
}

/// A response body. Its connection is closed unless the reader says that the answer was the one asked for.
#[derive(Debug)]
pub struct PooledBody {
    incoming: Incoming,
    back: Option<ReturnPath>,
    has_explicit_end: bool,
    ended: bool,
}

impl PooledBody {
    pub(super) fn new(response: Response<Incoming>, back: Option<ReturnPath>) -> Response<Self> {
        let has_explicit_end = has_explicit_end(&response);
        response.map(|incoming| Self { incoming, back, has_explicit_end, ended: false })
    }

    /// Whether the answer says where it ends, and not only the end of its connection.
    pub fn has_explicit_end(&self) -> bool {
        self.has_explicit_end
    }

    /// Reads the whole body of an answer that is known to be the one asked for.
    ///
    /// # Errors
    /// If the connection breaks first.
    pub async fn read_all(self) -> Result<Bytes> {
        self.read_with(|bytes| Ok(bytes.clone())).await
    }

    /// Reads the whole body; the connection is kept only if `read` knows it as the answer asked for.
    ///
    /// # Errors
    /// If the connection breaks first, or `read` fails.
    pub async fn read_with<T>(mut self, read: impl FnOnce(&Bytes) -> Result<T>) -> Result<T> {
        let bytes = (&mut self).collect().await?.to_bytes();
        let value = read(&bytes)?;
        self.keep_connection();
        Ok(value)
    }

    /// The same for a body of at most `longest` bytes whose next piece is waited for as long as `patience` says,
    /// given how many bytes have come.
    ///
    /// # Errors
    /// [`Error::TooLong`] and [`Error::Timeout`] if it is longer, or a piece does not come; any other if the
    /// connection breaks first, or `read` fails.
    pub async fn read_limited<T>(
        mut self,
        longest: usize,
        patience: impl Fn(usize) -> Duration,
        read: impl FnOnce(&Bytes) -> Result<T>,
    ) -> Result<T> {
        let stated = usize::try_from(self.incoming.size_hint().lower()).unwrap_or(usize::MAX);
        let mut bytes = BytesMut::new();
        loop {
            if stated.max(bytes.len()) > longest {
                return Err(Error::TooLong { received: bytes.len() });
            }
            let next = tokio::time::timeout(patience(bytes.len()), self.frame()).await;
            let Some(frame) = next.map_err(|_elapsed| Error::Timeout)? else { break };
            if let Ok(piece) = frame?.into_data() {
                bytes.extend_from_slice(&piece);
            }
        }
        let bytes = bytes.freeze();
        let value = read(&bytes)?;
        self.keep_connection();
        Ok(value)
    }

    /// The answer was whole and the one asked for: its connection may carry further calls.
    pub fn keep_connection(&mut self) {
        if let Some(back) = self.back.take().filter(|_| self.ended) {
            back.idle.put(back.address, back.connection, back.keep);
        }
    }
}

/// Whether an answer says where it ends: if it breaks off before, that shows.
pub fn has_explicit_end(response: &Response<Incoming>) -> bool {
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
        self.ended |= matches!(polled, Poll::Ready(None));
        polled
    }

    fn is_end_stream(&self) -> bool {
        // Bodies are always polled to `None`, so that their end is known.
        false
    }
}
