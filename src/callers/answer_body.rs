use super::CallerError;
use crate::Error;
use crate::host::AnswerPart;
use bytes::Bytes;
use hyper::body::{Body, Frame};
use serde_json::json;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::sync::mpsc::UnboundedReceiver;

/// An answer as server-sent events; each token leaves when it arrives. Without its last part it breaks off.
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
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        let part = match self.first.take() {
            Some(part) => Some(part),
            None => ready!(self.parts.poll_recv(cx)),
        };
        let Some(part) = part else {
            // The task that makes the answer is gone, by a panic or a stop. The body must break off here:
            // the end of the channel would reach the caller as the end of a whole answer.
            log::warn!("event=answer_cut request={}", self.request);
            self.ended = true;
            return Poll::Ready(Some(Err(Error::Truncated)));
        };
        Poll::Ready(Some(Ok(Frame::data(self.event(part)))))
    }
}
