use super::{PooledBody, StreamEvent};
use crate::{Error, Result};
use bytes::BytesMut;
use http_body_util::BodyExt;

const LONGEST_LINE: usize = 1 << 20;

/// Reads a stream of one event a line, each as soon as it arrives.
#[derive(Debug)]
pub struct LineStream {
    body: PooledBody,
    buffer: BytesMut,
    /// Whether the last event has come.
    ended: bool,
}

impl LineStream {
    /// Reads lines from `body`.
    pub fn new(body: PooledBody) -> Self {
        Self { body, buffer: BytesMut::new(), ended: false }
    }

    /// The next event, or none after the last one of a whole stream. Safe to drop while it waits.
    ///
    /// # Errors
    /// [`Error::Truncated`] if the body ends without the last event; any other error if the connection breaks
    /// or a line is malformed.
    pub async fn next(&mut self) -> Result<Option<StreamEvent>> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line = self.buffer.split_to(end + 1);
                let event: StreamEvent = serde_json::from_slice(&line)?;
                self.ended |= event.is_last();
                return Ok(Some(event));
            }
            if self.buffer.len() > LONGEST_LINE {
                return Err(Error::Protocol("a line is too long".to_owned()));
            }
            let Some(frame) = self.body.frame().await else {
                return self.end();
            };
            if let Ok(data) = frame?.into_data() {
                self.buffer.extend_from_slice(&data);
            }
        }
    }

    /// An engine that gives up a stream may end the body in good order: only the last event makes it whole.
    fn end(&mut self) -> Result<Option<StreamEvent>> {
        if !self.ended || !self.buffer.is_empty() {
            return Err(Error::Truncated);
        }
        self.body.keep_connection();
        Ok(None)
    }
}
