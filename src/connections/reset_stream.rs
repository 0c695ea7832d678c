use std::io::{IoSlice, Result};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Tells a stream whether its end is a reset.
#[derive(Debug, Clone, Default)]
pub struct ResetMark(Arc<AtomicBool>);

impl ResetMark {
    /// From now on the end of the stream is a reset.
    pub fn set(&self) {
        self.0.store(true, Ordering::Release);
    }

    /// From now on the stream ends properly.
    pub fn clear(&self) {
        self.0.store(false, Ordering::Release);
    }

    fn is_set(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// A stream that is reset if it ends while its mark is set, or because the process is killed: the kernel would otherwise go
/// on sending what a cut holds up, and deliver it seconds after it was given up.
///
/// A server that is still reading a request gets an error and does not run it. One that has received all of it may run it,
/// and learns of the reset when it answers or reads on.
#[derive(Debug)]
pub struct ResetStream<S> {
    stream: S,
    mark: ResetMark,
    /// Makes dropping the stream a proper end; without it, it is a reset.
    end_properly: fn(&S),
}

impl<S> ResetStream<S> {
    /// Wraps a stream whose end is a reset until `end_properly` is called.
    pub fn new(stream: S, mark: ResetMark, end_properly: fn(&S)) -> Self {
        Self { stream, mark, end_properly }
    }
}

impl<S> Drop for ResetStream<S> {
    fn drop(&mut self) {
        if !self.mark.is_set() {
            (self.end_properly)(&self.stream);
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for ResetStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for ResetStream<S> {
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
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    /// Ends the stream properly, unless it is about to be reset: a host that forwards the connection would take a proper
    /// end for a request that is still wanted.
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        if self.mark.is_set() {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
