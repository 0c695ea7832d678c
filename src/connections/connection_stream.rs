use super::read_meter::{ReadMeter, UndeliveredBytes};
use super::reset_mark::ResetMark;
use std::io::{Error, ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// A stream that is reset if it ends while its mark is set, or because the process is killed: the kernel would otherwise go
/// on sending what a cut holds up, and deliver it seconds after it was given up.
///
/// A server that is still reading a request gets an error and does not run it. One that has received all of it may run it,
/// and learns of the reset when it answers or reads on.
#[derive(Debug)]
pub struct ConnectionStream<S> {
    stream: S,
    mark: ResetMark,
    /// Counts what is read, where that is bounded.
    meter: Option<ReadMeter>,
    /// Makes dropping the stream a proper end; without it, it is a reset.
    end_properly: fn(&S),
}

impl<S> ConnectionStream<S> {
    /// Wraps a stream whose end is a reset until `end_properly` is called.
    pub fn new(stream: S, mark: ResetMark, end_properly: fn(&S)) -> Self {
        Self { stream, mark, meter: None, end_properly }
    }

    /// Counts what is read, and ends the connection if too much of it becomes no part of an answer.
    pub fn with_meter(mut self, meter: ReadMeter) -> Self {
        self.meter = Some(meter);
        self
    }
}

impl<S> Drop for ConnectionStream<S> {
    fn drop(&mut self) {
        if !self.mark.is_set() {
            (self.end_properly)(&self.stream);
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for ConnectionStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let read = buf.filled().len() - before;
        if self.meter.as_ref().is_none_or(|meter| meter.record(read)) {
            return Poll::Ready(Ok(()));
        }
        Poll::Ready(Err(Error::new(ErrorKind::InvalidData, UndeliveredBytes)))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for ConnectionStream<S> {
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
