use bytes::Bytes;
use hyper::Response;
use hyper::body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::mpsc::Receiver;

/// An answer to a caller.
pub(super) type CallerAnswer = Response<CallerBody>;

/// Error of a stream that ended before its last event; the caller's connection is closed abruptly, so
/// that the answer does not look complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct StreamCut;

impl std::fmt::Display for StreamCut {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "the stream ended before its last event")
    }
}

impl std::error::Error for StreamCut {}

/// A part of a stream that is sent to its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum StreamPart {
    /// A complete event.
    Event(Bytes),
    /// There are no more events. A stream is complete only after this part: if the task that relays its
    /// events ends for any other reason, the stream is cut.
    End,
}

/// The body of an answer to a caller.
#[derive(Debug)]
pub(super) enum CallerBody {
    /// A complete body; `None` once it was sent.
    Whole(Option<Bytes>),
    /// Events as they arrive.
    Events(Receiver<StreamPart>),
}

impl Body for CallerBody {
    type Data = Bytes;
    type Error = StreamCut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamCut>>> {
        match &mut *self {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Events(parts) => parts.poll_recv(cx).map(|part| match part {
                Some(StreamPart::Event(bytes)) => Some(Ok(Frame::data(bytes))),
                Some(StreamPart::End) => None,
                None => Some(Err(StreamCut)),
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Events(_) => SizeHint::default(),
        }
    }
}
