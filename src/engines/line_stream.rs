use super::PooledBody;
use crate::{Error, Result};
use bytes::BytesMut;
use http_body_util::BodyExt;
use serde::de::DeserializeOwned;

const LONGEST_LINE: usize = 1 << 20;

/// Reads a body of one JSON value a line, each as soon as it arrives.
#[derive(Debug)]
pub struct LineStream {
    body: PooledBody,
    buffer: BytesMut,
}

impl LineStream {
    /// Reads lines from `body`.
    pub fn new(body: PooledBody) -> Self {
        Self { body, buffer: BytesMut::new() }
    }

    /// The next value, or none at the end. Safe to drop while it waits.
    ///
    /// # Errors
    /// If the connection breaks or a line is malformed.
    pub async fn next<T: DeserializeOwned>(&mut self) -> Result<Option<T>> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line = self.buffer.split_to(end + 1);
                return Ok(Some(serde_json::from_slice(&line)?));
            }
            if self.buffer.len() > LONGEST_LINE {
                return Err(Error::Protocol("a line is too long".to_owned()));
            }
            match self.body.frame().await {
                None => {
                    self.body.keep_connection();
                    return Ok(None);
                }
                Some(frame) => {
                    if let Ok(data) = frame?.into_data() {
                        self.buffer.extend_from_slice(&data);
                    }
                }
            }
        }
    }
}
