use crate::engines::PooledBody;
use crate::streams::{EventSplitter, ServerSentEvent};
use crate::{Error, Result};
use http_body_util::BodyExt;

/// Reads the events of a stream, each as soon as it is complete.
#[derive(Debug)]
pub(super) struct EventReader {
    body: PooledBody,
    splitter: EventSplitter,
}

impl EventReader {
    pub fn new(body: PooledBody) -> Self {
        Self { body, splitter: EventSplitter::default() }
    }

    /// Returns the next event, or `None` after the last one. Cancel safe.
    ///
    /// # Errors
    /// If the connection breaks or ends within an event, or an event is too long.
    pub async fn next(&mut self) -> Result<Option<ServerSentEvent>> {
        loop {
            if let Some(event) = self.splitter.next_event() {
                return Ok(Some(event));
            }
            if self.splitter.is_overlong() {
                return Err(Error::Protocol("an event is too long".to_owned()));
            }
            match self.body.frame().await {
                Some(frame) => {
                    if let Ok(data) = frame?.into_data() {
                        self.splitter.push(&data);
                    }
                }
                None if self.splitter.rest().is_empty() => {
                    self.body.keep_connection();
                    return Ok(None);
                }
                None => return Err(Error::Protocol("the stream ended within an event".to_owned())),
            }
        }
    }
}
