use super::site_http::ConnectionDropped;
use bytes::Bytes;
use hyper::body::Frame;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::mpsc;

/// Time for earlier events to be written before a stream is broken.
const FLUSH_DELAY: Duration = Duration::from_millis(20);

/// A frame of a stand-in's stream, or the error that breaks the stream.
pub(super) type EventPiece = Result<Frame<Bytes>, ConnectionDropped>;

/// The channel into which a stand-in sends the frames of a stream.
pub(super) type EventSender = mpsc::Sender<EventPiece>;

/// A response body that reads its frames from a channel.
pub(super) struct EventFeed(pub mpsc::Receiver<EventPiece>);

impl futures_core::Stream for EventFeed {
    type Item = EventPiece;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.0.poll_recv(cx)
    }
}

/// Sends the first half of an event and then breaks the stream.
pub(super) async fn send_truncated(events: &EventSender, event: &str) {
    let half = Bytes::copy_from_slice(&event.as_bytes()[..event.len() / 2]);
    // Tests include callers that disconnect before this point.
    drop(events.send(Ok(Frame::data(half))).await);
    // The HTTP library discards unwritten frames when a body fails.
    tokio::time::sleep(FLUSH_DELAY).await;
    drop(events.send(Err(ConnectionDropped)).await);
}
