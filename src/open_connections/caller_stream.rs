use super::ConnectionGauge;
use std::io::{IoSlice, Result};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// A connection that somebody else opened, with a gauge of what happens on it.
#[derive(Debug)]
pub struct CallerStream<S> {
    stream: S,
    gauge: Arc<ConnectionGauge>,
}

impl<S> CallerStream<S> {
    /// Observes `stream` with `gauge`.
    pub fn new(stream: S, gauge: Arc<ConnectionGauge>) -> Self {
        Self { stream, gauge }
    }

    fn record_write(&self, written: &Poll<Result<usize>>) {
        match written {
            Poll::Ready(Ok(bytes)) => self.gauge.record_written(*bytes),
            Poll::Ready(Err(_)) => {}
            Poll::Pending => self.gauge.record_blocked(),
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CallerStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        match &read {
            Poll::Ready(Ok(())) => self.gauge.record_read(buf.filled().len() - before),
            Poll::Ready(Err(_)) => {}
            Poll::Pending => self.gauge.record_drained(),
        }
        read
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CallerStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_write(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// Called once all that was to be written was written.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(cx);
        if matches!(flushed, Poll::Ready(Ok(()))) {
            self.gauge.record_flushed();
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
