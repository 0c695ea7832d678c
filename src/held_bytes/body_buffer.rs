use super::byte_budget::{ByteBudget, ByteShare};
use crate::{Error, Result};
use bytes::Bytes;

/// Largest piece in which a body is collected.
const PIECE_BYTES: usize = 16 << 10;

/// Collects a body within its own bound and the budget of all bodies.
///
/// It keeps pieces instead of one buffer that grows: many buffers that grow beside each other are copied again and again,
/// and leave gaps in the heap that together are larger than the bodies.
#[derive(Debug)]
pub struct BodyBuffer {
    pieces: Vec<Vec<u8>>,
    length: usize,
    share: ByteShare,
    max_bytes: usize,
}

impl BodyBuffer {
    /// An empty buffer for a body of at most `max_bytes`.
    pub fn new(budget: &ByteBudget, max_bytes: usize) -> Self {
        Self { pieces: Vec::new(), length: 0, share: budget.share(), max_bytes }
    }

    /// Number of bytes collected so far.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether nothing was collected yet.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Adds received bytes.
    ///
    /// # Errors
    /// [`Error::TooLong`] if the body is longer than its bound or than the budget admits.
    pub fn push(&mut self, bytes: &[u8]) -> Result<()> {
        let length = self.length + bytes.len();
        let too_long = Error::TooLong { received: length };
        if length > self.max_bytes {
            return Err(too_long);
        }
        let mut rest = bytes;
        while !rest.is_empty() {
            if self.room() == 0 && !self.add_piece(rest.len()) {
                return Err(too_long);
            }
            let (now, later) = rest.split_at(rest.len().min(self.room()));
            if let Some(piece) = self.pieces.last_mut() {
                piece.extend_from_slice(now);
            }
            self.length += now.len();
            rest = later;
        }
        Ok(())
    }

    /// Bytes that the last piece has room for.
    fn room(&self) -> usize {
        self.pieces.last().map_or(0, |piece| piece.capacity() - piece.len())
    }

    /// Adds a piece for at least a part of `needed` bytes; returns false if the budget does not admit it. Pieces double the
    /// buffer until they have their full size, so that a small body has a small one.
    fn add_piece(&mut self, needed: usize) -> bool {
        let least = needed.min(PIECE_BYTES);
        let most = self.length.clamp(least, PIECE_BYTES).min(self.max_bytes - self.length);
        let held = self.share.bytes();
        let size = match (self.share.resize(held + most), most > least) {
            (true, _) => most,
            (false, true) if self.share.resize(held + least) => least,
            (false, _) => return false,
        };
        self.pieces.push(Vec::with_capacity(size));
        true
    }

    /// Returns the whole body, which keeps its share of the budget until its bytes are dropped.
    pub fn freeze(mut self) -> Bytes {
        if self.is_empty() {
            return Bytes::new();
        }
        if self.pieces.len() == 1 {
            return self.share.attach(self.pieces.remove(0));
        }
        let mut whole = Vec::with_capacity(self.length);
        for piece in self.pieces.drain(..) {
            whole.extend_from_slice(&piece);
        }
        // Makes the share smaller, which is always admitted.
        let _ = self.share.resize(self.length);
        self.share.attach(whole)
    }
}
