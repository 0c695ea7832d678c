use crate::engines::PooledBody;
use crate::held_bytes::ByteShare;
use crate::streams::{EventSplitter, ServerSentEvent};
use crate::{Error, Result};
use http_body_util::BodyExt;

/// Reads the events of a stream, each as soon as it is complete. Bytes that were received count against the budget of all
/// answers until the caller has been sent them: a caller that reads slowly keeps some events waiting.
#[derive(Debug)]
pub(super) struct EventReader {
    body: PooledBody,
    splitter: EventSplitter,
    share: ByteShare,
}

impl EventReader {
    pub fn new(body: PooledBody) -> Self {
        let share = body.budget().share();
        Self { body, splitter: EventSplitter::default(), share }
    }

    /// Returns the next event, or `None` after the last one. Cancel safe.
    ///
    /// # Errors
    /// [`Error::TooLong`] if an event is too long or the budget does not admit it; any other error if the connection
    /// breaks or ends within an event.
    pub async fn next(&mut self) -> Result<Option<ServerSentEvent>> {
        loop {
            if let Some(event) = self.splitter.next_event() {
                let share = self.share.split(event.bytes.len());
                let bytes = share.attach(event.bytes);
                return Ok(Some(ServerSentEvent { bytes, ..event }));
            }
            if self.splitter.is_overlong() {
                return Err(self.too_long());
            }
            match self.body.frame().await {
                Some(frame) => {
                    if let Ok(data) = frame?.into_data() {
                        self.splitter.push(&data);
                        if !self.share.resize(self.splitter.rest().len()) {
                            return Err(self.too_long());
                        }
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
    fn too_long(&self) -> Error {
        Error::TooLong { received: self.splitter.rest().len() }
    }
}
