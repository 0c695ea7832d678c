use bytes::{Bytes, BytesMut};

/// Maximum size of an event; a longer one means that the stream is broken. An event holds a few tokens, some hundred
/// bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// A complete server-sent event, as received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerSentEvent {
    /// The number in the event's `id` field, if any.
    pub number: Option<u64>,
    /// The bytes of the event, including the blank line that ends it.
    pub bytes: Bytes,
}

/// Splits a stream of bytes into complete events, so that a caller never receives part of an event if the server breaks
/// off within it.
#[derive(Debug, Clone, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Number of bytes at the front that were already searched for the end of an event.
    searched: usize,
}

impl EventSplitter {
    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event.
    pub fn next_event(&mut self) -> Option<ServerSentEvent> {
        let end = self.find_end()?;
        self.searched = 0;
        let bytes = self.buffer.split_to(end).freeze();
        Some(ServerSentEvent { number: read_number(&bytes), bytes })
    }

    /// Returns the bytes after the last complete event.
    pub fn rest(&self) -> &[u8] {
        &self.buffer
    }

    /// Whether the incomplete event exceeds the maximum size.
    pub fn is_overlong(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }

    /// Finds the end of the first event: after a blank line, with LF or CRLF line endings.
    fn find_end(&mut self) -> Option<usize> {
        let start = self.searched.saturating_sub(3);
        for offset in start..self.buffer.len() {
            let rest = &self.buffer[offset..];
            if rest.starts_with(b"\n\n") {
                return Some(offset + 2);
            }
            if rest.starts_with(b"\n\r\n") {
                return Some(offset + 3);
            }
        }
        self.searched = self.buffer.len();
        None
    }
}

fn read_number(event: &[u8]) -> Option<u64> {
    let line = event.split(|byte| *byte == b'\n').find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
