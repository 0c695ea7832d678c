use super::CallerError;
use crate::Error;
use crate::host::AnswerPart;
use bytes::Bytes;
use hyper::body::{Body, Frame};
use serde_json::json;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::sync::mpsc::UnboundedReceiver;

/// A response body of server-sent events that forwards each token as it arrives. If the parts end
/// before the final one, the body ends with an error.
#[derive(Debug)]
pub struct AnswerBody {
    request_id: String,
    first: Option<AnswerPart>,
    parts: UnboundedReceiver<AnswerPart>,
    ended: bool,
}

impl AnswerBody {
    /// Creates the body of the answer to `request_id` from the first part, already received, and
    /// the channel of the remaining ones.
    pub fn new(
        request_id: String,
        first: AnswerPart,
        parts: UnboundedReceiver<AnswerPart>,
    ) -> Self {
        Self { request_id, first: Some(first), parts, ended: false }
    }

    fn encode_event(&mut self, part: AnswerPart) -> Bytes {
        let text = match part {
            AnswerPart::Token(text) => {
                let chunk = json!({"id": self.request_id, "object": "text_completion",
                    "choices": [{"index": 0, "text": text.as_str(), "finish_reason": null}]});
                format!("data: {chunk}\n\n")
            }
            AnswerPart::Done(finish) => {
                self.ended = true;
                let chunk = json!({"id": self.request_id, "object": "text_completion",
                    "choices": [{"index": 0, "text": "", "finish_reason": finish}]});
                format!("data: {chunk}\n\ndata: [DONE]\n\n")
            }
            AnswerPart::Failed(failure) => {
                self.ended = true;
                format!("event: error\ndata: {}\n\n", CallerError::from(failure).json())
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
            // The task that produces the answer is gone, through a panic or a shutdown. The body
            // must fail here: a regular end would look to the caller like the end of a whole
            // answer.
            log::warn!("event=answer_cut request={}", self.request_id);
            self.ended = true;
            return Poll::Ready(Some(Err(Error::Truncated)));
        };
        Poll::Ready(Some(Ok(Frame::data(self.encode_event(part)))))
    }
}
