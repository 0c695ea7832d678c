use std::io::{Error, ErrorKind, Result};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Most bytes of a connection that may be read while its reader receives nothing of an answer: eight buffers of the HTTP
/// library, which reads at most one head and two pieces of a body ahead. Interim (1xx) heads and the digits of a chunk
/// size take no memory, but may go on without end.
const MAX_UNDELIVERED_BYTES: usize = 128 << 10;

/// Counts the bytes of a connection since its reader last received something.
#[derive(Debug, Clone, Default)]
pub(super) struct ReadMeter {
    undelivered: Arc<AtomicUsize>,
}

impl ReadMeter {
    /// Records that a call begins, or that its reader received something.
    pub fn reset(&self) {
        self.undelivered.store(0, Ordering::Relaxed);
    }

    /// Counts `bytes`; returns false once they are too many.
    fn record(&self, bytes: usize) -> bool {
        let before = self.undelivered.fetch_add(bytes, Ordering::Relaxed);
        before + bytes <= MAX_UNDELIVERED_BYTES
    }
}

/// Ends a connection that delivers too many bytes of which nothing becomes part of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct UndeliveredBytes;

impl std::fmt::Display for UndeliveredBytes {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{MAX_UNDELIVERED_BYTES} bytes arrived without a part of an answer")
    }
}

impl std::error::Error for UndeliveredBytes {}

/// A connection whose reads are counted.
#[derive(Debug)]
pub(super) struct MeteredStream<S> {
    stream: S,
    meter: ReadMeter,
}

impl<S> MeteredStream<S> {
    pub fn new(stream: S, meter: ReadMeter) -> Self {
        Self { stream, meter }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for MeteredStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        if self.meter.record(buf.filled().len() - before) {
            return Poll::Ready(Ok(()));
        }
        Poll::Ready(Err(Error::new(ErrorKind::InvalidData, UndeliveredBytes)))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for MeteredStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[std::io::IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
