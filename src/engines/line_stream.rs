use super::{PooledBody, StreamEvent};
use crate::{Error, Result};
use bytes::BytesMut;
use http_body_util::BodyExt;

const MAX_LINE_BYTES: usize = 1 << 20;

/// Reads a stream with one event per line, and yields each event as soon as it arrives.
#[derive(Debug)]
pub struct LineStream {
    body: PooledBody,
    buffer: BytesMut,
    /// Whether the last event has arrived.
    is_complete: bool,
}

impl LineStream {
    /// Creates a reader of the lines of `body`.
    pub fn new(body: PooledBody) -> Self {
        Self { body, buffer: BytesMut::new(), is_complete: false }
    }

    /// Returns the next event, or `None` after the last event of a complete stream. Cancel-safe.
    ///
    /// # Errors
    /// [`Error::Truncated`] if the body ends without the last event; any other error if the connection breaks or a line
    /// is malformed.
    pub async fn next(&mut self) -> Result<Option<StreamEvent>> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line = self.buffer.split_to(end + 1);
                let event: StreamEvent = serde_json::from_slice(&line)?;
                self.is_complete |= event.is_last();
                return Ok(Some(event));
            }
            if self.buffer.len() > MAX_LINE_BYTES {
                return Err(Error::Protocol("a line is too long".to_owned()));
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
