use bytes::{Bytes, BytesMut};

/// An event longer than this is a broken stream.
const LONGEST_EVENT: usize = 1 << 20;

/// One whole server-sent event, as it arrived.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerSentEvent {
    /// Its number, if it has one.
    pub number: Option<u64>,
    /// Its bytes, with the blank line that ends it.
    pub bytes: Bytes,
}

/// Cuts a stream of bytes into whole events, so that a server that breaks off within one leaves
/// no part of it with the caller.
#[derive(Debug, Clone, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Bytes at the front that hold no end of an event.
    searched: usize,
}

impl EventSplitter {
    /// Takes over bytes that arrived.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole event.
    pub fn next_event(&mut self) -> Option<ServerSentEvent> {
        let end = self.find_end()?;
        self.searched = 0;
        let bytes = self.buffer.split_to(end).freeze();
        Some(ServerSentEvent { number: read_number(&bytes), bytes })
    }

    /// Bytes after the last whole event.
    pub fn rest(&self) -> &[u8] {
        &self.buffer
    }

    /// Whether the event under way is longer than any proper one.
    pub fn is_overlong(&self) -> bool {
        self.buffer.len() > LONGEST_EVENT
    }

    /// Where the first event ends: after a blank line, with either kind of line end.
    fn find_end(&mut self) -> Option<usize> {
        let from = self.searched.saturating_sub(3);
        for place in from..self.buffer.len() {
            let rest = &self.buffer[place..];
            if rest.starts_with(b"\n\n") {
                return Some(place + 2);
            }
            if rest.starts_with(b"\n\r\n") {
                return Some(place + 3);
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
