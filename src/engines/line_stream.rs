use super::{PooledBody, StreamEvent};
use crate::held_bytes::ByteShare;
use crate::{Error, Result};
use bytes::BytesMut;
use http_body_util::BodyExt;

/// Longest line. It holds a token, some tens of bytes.
const MAX_LINE_BYTES: usize = 1 << 20;

/// Reads a stream with one event per line, and yields each event as soon as it arrives. Bytes that were received count
/// against the budget of all answers.
#[derive(Debug)]
pub struct LineStream {
    body: PooledBody,
    buffer: BytesMut,
    share: ByteShare,
    /// Whether the last event has arrived.
    is_complete: bool,
}

impl LineStream {
    /// Creates a reader of the lines of `body`.
    pub fn new(body: PooledBody) -> Self {
        let share = body.budget().share();
        Self { body, buffer: BytesMut::new(), share, is_complete: false }
    }

    /// Returns the next event, or `None` after the last event of a complete stream. Cancel-safe.
    ///
    /// # Errors
    /// [`Error::Truncated`] if the body ends without the last event, [`Error::TooLong`] if a line is too long or the budget
    /// does not admit it; any other error if the connection breaks or a line is malformed.
    pub async fn next(&mut self) -> Result<Option<StreamEvent>> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line = self.buffer.split_to(end + 1);
                let event: StreamEvent = serde_json::from_slice(&line)?;
                self.is_complete |= event.is_last();
                return Ok(Some(event));
            }
            if self.buffer.len() > MAX_LINE_BYTES || !self.share.resize(self.buffer.len()) {
                return Err(Error::TooLong { received: self.buffer.len() });
            }
            let Some(frame) = self.body.frame().await else {
                return self.finish();
            };
            if let Ok(data) = frame?.into_data() {
                self.buffer.extend_from_slice(&data);
            }
        }
    }

    /// Ends the stream. An engine that abandons a stream may end its body properly, so a stream is complete only with
    /// its last event.
    fn finish(&mut self) -> Result<Option<StreamEvent>> {
        if !self.is_complete || !self.buffer.is_empty() {
            return Err(Error::Truncated);
        }
        self.body.keep_connection();
        Ok(None)
    }
}
