use super::link_driver::LinkUse;
use bytes::{Buf, Bytes};
use h2::{RecvStream, SendStream};
use std::io::{Error, ErrorKind, Result};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Most bytes that are handed to the connection between the hosts at a time.
const MAX_WRITE_BYTES: usize = 16 << 10;

/// The bytes of a connection that passes through another host, as one stream of the connection between the two hosts.
///
/// The stream ends properly only if the server ended the connection properly. If the other host ends or the connection
/// between the hosts breaks, reading fails, so that an answer without a length never looks complete. Dropping the stream
/// before [`AsyncWrite::poll_shutdown`] resets the connection at the other end, and has the connection between the hosts
/// checked by the host that opened it.
#[derive(Debug)]
pub struct TunnelStream {
    sender: SendStream<Bytes>,
    receiver: RecvStream,
    /// Bytes that were received and not read yet.
    received: Bytes,
    /// The use of the connection by the host that opened it, settled by a proper end.
    link_use: Option<LinkUse>,
}

impl TunnelStream {
    pub(super) fn new(
        sender: SendStream<Bytes>,
        receiver: RecvStream,
        link_use: Option<LinkUse>,
    ) -> Self {
        Self { sender, receiver, received: Bytes::new(), link_use }
    }
}

fn broken(error: h2::Error) -> Error {
    Error::new(ErrorKind::ConnectionReset, error)
}

impl AsyncRead for TunnelStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        while self.received.is_empty() {
            match ready!(self.receiver.poll_data(cx)) {
                None => return Poll::Ready(Ok(())),
                Some(Err(error)) => return Poll::Ready(Err(broken(error))),
                Some(Ok(bytes)) => self.received = bytes,
            }
        }
        let count = self.received.len().min(buf.remaining());
        buf.put_slice(&self.received[..count]);
        self.received.advance(count);
        // The other host may send as much again.
        self.receiver.flow_control().release_capacity(count).map_err(broken)?;
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for TunnelStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize>> {
        let wanted = buf.len().min(MAX_WRITE_BYTES);
        self.sender.reserve_capacity(wanted);
        while self.sender.capacity() == 0 {
            match ready!(self.sender.poll_capacity(cx)) {
                None => return Poll::Ready(Err(ErrorKind::BrokenPipe.into())),
                Some(Err(error)) => return Poll::Ready(Err(broken(error))),
                Some(Ok(_)) => {}
            }
        }
        let count = wanted.min(self.sender.capacity());
        let chunk = Bytes::copy_from_slice(&buf[..count]);
        self.sender.send_data(chunk, false).map_err(broken)?;
        Poll::Ready(Ok(count))
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<Result<()>> {
        // The connection between the hosts sends by itself.
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<Result<()>> {
        if let Some(link_use) = &mut self.link_use {
            link_use.settle();
        }
        Poll::Ready(self.sender.send_data(Bytes::new(), true).map_err(broken))
    }
}
