use std::io::{IoSlice, Result};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Tells the stream of a connection whether a call waits for the begin of its answer.
#[derive(Debug, Clone, Default)]
pub(super) struct CallMark(Arc<AtomicBool>);

impl CallMark {
    /// Records that a call is sent.
    pub fn start(&self) {
        self.0.store(true, Ordering::Release);
    }

    /// Records that the answer to the call began to arrive.
    pub fn complete(&self) {
        self.0.store(false, Ordering::Release);
    }

    fn is_open(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// The stream of a connection to a server. If it ends before the answer to a call began, whatever the reason, it is reset:
/// the kernel would otherwise go on sending a request that a cut holds up, and deliver it seconds after its caller was told
/// that it failed.
///
/// A server that is still reading the request gets an error and does not run it. One that has received all of it may run
/// it, and learns of the reset when it answers or reads on.
#[derive(Debug)]
pub(super) struct CallStream<S> {
    stream: S,
    mark: CallMark,
    /// Makes dropping the stream a reset.
    prepare_reset: fn(&S),
}

impl<S> CallStream<S> {
    /// Wraps the stream of a connection that carries no call yet.
    pub fn new(stream: S, mark: CallMark, prepare_reset: fn(&S)) -> Self {
        Self { stream, mark, prepare_reset }
    }
}

impl<S> Drop for CallStream<S> {
    fn drop(&mut self) {
        if self.mark.is_open() {
            (self.prepare_reset)(&self.stream);
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CallStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CallStream<S> {
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
        if self.mark.is_open() {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
