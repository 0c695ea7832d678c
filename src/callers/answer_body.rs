use super::CallerError;
use crate::host::AnswerPart;
use bytes::Bytes;
use hyper::body::{Body, Frame};
use serde_json::json;
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::mpsc::UnboundedReceiver;

/// An answer as server-sent events; each token leaves when it arrives.
#[derive(Debug)]
pub struct AnswerBody {
    request: String,
    first: Option<AnswerPart>,
    parts: UnboundedReceiver<AnswerPart>,
    ended: bool,
}

impl AnswerBody {
    /// The answer to `request`, whose parts come by `parts`; the first one is there already.
    pub fn new(request: String, first: AnswerPart, parts: UnboundedReceiver<AnswerPart>) -> Self {
        Self { request, first: Some(first), parts, ended: false }
    }

    fn event(&mut self, part: AnswerPart) -> Bytes {
        let text = match part {
            AnswerPart::Token(text) => {
                let chunk = json!({"id": self.request, "object": "text_completion",
                    "choices": [{"index": 0, "text": text, "finish_reason": null}]});
                format!("data: {chunk}\n\n")
            }
            AnswerPart::Done(finish) => {
                self.ended = true;
                let chunk = json!({"id": self.request, "object": "text_completion",
                    "choices": [{"index": 0, "text": "", "finish_reason": finish}]});
                format!("data: {chunk}\n\ndata: [DONE]\n\n")
            }
            AnswerPart::Broken(answer) => {
                self.ended = true;
                format!("event: error\ndata: {}\n\n", CallerError::from(answer).json())
            }
        };
        Bytes::from(text)
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        let part = match self.first.take() {
            Some(part) => Some(part),
            None => match self.parts.poll_recv(cx) {
                Poll::Ready(part) => part,
                Poll::Pending => return Poll::Pending,
            },
        };
        Poll::Ready(part.map(|part| Ok(Frame::data(self.event(part)))))
    }
}
