use super::site_http::BrokenOff;
use bytes::Bytes;
use hyper::body::Frame;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::mpsc;

/// Events before a cut have this long to leave.
const CUT_PAUSE: Duration = Duration::from_millis(20);

/// A piece of a stand-in's stream, or its break.
pub(super) type EventPiece = Result<Frame<Bytes>, BrokenOff>;

/// Where a stand-in puts the pieces of a stream.
pub(super) type EventSender = mpsc::Sender<EventPiece>;

/// A stream of events from a channel.
pub(super) struct EventFeed(pub mpsc::Receiver<EventPiece>);

impl futures_core::Stream for EventFeed {
    type Item = EventPiece;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.0.poll_recv(cx)
    }
}

/// Breaks a stream off within an event.
pub(super) async fn cut_within(events: &EventSender, event: &str) {
    let half = Bytes::copy_from_slice(&event.as_bytes()[..event.len() / 2]);
    // A caller that leaves before the cut is part of tests.
    drop(events.send(Ok(Frame::data(half))).await);
    // The HTTP library drops what it has not written when a body fails.
    tokio::time::sleep(CUT_PAUSE).await;
    drop(events.send(Err(BrokenOff)).await);
}
