use super::ConnectionGauge;
use hyper::body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::sync::OwnedSemaphorePermit;

/// The body of an answer; dropping it tells the connection's gauge that the answer was handed over.
#[derive(Debug)]
pub struct TrackedBody<B> {
    body: B,
    gauge: Arc<ConnectionGauge>,
    #[allow(dead_code, reason = "given back with the body")]
    permit: Option<OwnedSemaphorePermit>,
}

impl<B> TrackedBody<B> {
    pub(super) fn new(
        body: B,
        gauge: Arc<ConnectionGauge>,
        permit: Option<OwnedSemaphorePermit>,
    ) -> Self {
        Self { body, gauge, permit }
    }
}

impl<B: Body + Unpin> Body for TrackedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl<B> Drop for TrackedBody<B> {
    fn drop(&mut self) {
        self.gauge.end_answer();
    }
}
