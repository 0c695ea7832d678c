use super::byte_budget::{ByteBudget, ByteShare};
use crate::{Error, Result};
use bytes::Bytes;

/// Collects a body within its own bound and the budget of all bodies.
#[derive(Debug)]
pub struct BodyBuffer {
    bytes: Vec<u8>,
    share: ByteShare,
    max_bytes: usize,
}

impl BodyBuffer {
    /// An empty buffer for a body of at most `max_bytes`.
    pub fn new(budget: &ByteBudget, max_bytes: usize) -> Self {
        Self { bytes: Vec::new(), share: budget.share(), max_bytes }
    }

    /// Number of bytes collected so far.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether nothing was collected yet.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Adds received bytes.
    ///
    /// # Errors
    /// [`Error::TooLong`] if the body is longer than its bound or than the budget admits.
    pub fn push(&mut self, bytes: &[u8]) -> Result<()> {
        let length = self.bytes.len() + bytes.len();
        let too_long = Error::TooLong { received: length };
        if length > self.max_bytes {
            return Err(too_long);
        }
        if length > self.share.bytes() {
            // The buffer grows by doubling, so that a long body is not copied for each of its pieces; where that is
            // too much for the budget, it grows by what is needed.
            let doubled = (2 * self.share.bytes()).clamp(length, self.max_bytes);
            if !self.share.resize(doubled) && !self.share.resize(length) {
                return Err(too_long);
            }
            self.bytes.reserve_exact(self.share.bytes() - self.bytes.len());
        }
        self.bytes.extend_from_slice(bytes);
        Ok(())
    }

    /// Returns the whole body, which keeps its share of the budget until its bytes are dropped.
    pub fn freeze(self) -> Bytes {
        let Self { bytes, share, .. } = self;
        if bytes.is_empty() {
            return Bytes::new();
        }
        share.attach(bytes)
    }
}
