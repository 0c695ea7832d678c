//! Faults in the answers of a backend server, and the bytes of such answers.

use bytes::{Bytes, BytesMut};

/// What a link does to the answers that it forwards.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AnswerFault {
    /// Sends each answer again after a short random delay, even if the connection is idle.
    LateCopy,
    /// Sends each answer again when the next request has arrived, before the answer to that request.
    CopyAhead,
    /// Sends each answer again immediately.
    CopyBehind,
    /// Sends the answer without a length; the end of the connection ends it.
    Unframed,
    /// Sends the answer twice in a row, without a length.
    UnframedTwice,
    /// Sends the answer without a length and breaks it off in the middle. The connection of a stream that ends inside an
    /// event is closed, which tells that it was broken off; any other is reset, because the platform counts an answer
    /// whose connection is closed as complete.
    UnframedBreak,
    /// Resets the connection in the middle of the answer.
    ResetMidway,
}

impl AnswerFault {
    pub const ALL: [Self; 7] = [
        Self::LateCopy,
        Self::CopyAhead,
        Self::CopyBehind,
        Self::Unframed,
        Self::UnframedTwice,
        Self::UnframedBreak,
        Self::ResetMidway,
    ];
}

/// Returns the same answer without a length, so that the end of the connection marks its end.
pub(super) fn without_length(answer: &[u8]) -> Bytes {
    let Some(head_end) = answer.windows(4).position(|window| window == b"\r\n\r\n") else {
        return Bytes::copy_from_slice(answer);
    };
    let (head, body) = (&answer[..head_end], &answer[head_end + 4..]);
    let mut bytes = BytesMut::new();
    let mut is_chunked = false;
    for line in head.split(|byte| *byte == b'\n') {
        let line = line.trim_ascii_end();
        let name = line.to_ascii_lowercase();
        if name.starts_with(b"transfer-encoding:") {
            is_chunked = true;
        } else if !name.starts_with(b"content-length:") {
            bytes.extend_from_slice(line);
            bytes.extend_from_slice(b"\r\n");
        }
    }
    bytes.extend_from_slice(b"\r\n");
    if is_chunked {
        extend_from_chunks(&mut bytes, body);
    } else {
        bytes.extend_from_slice(body);
    }
    bytes.freeze()
}

/// Whether the bytes of an answer without a length are a stream that ends inside an event.
pub(super) fn ends_inside_event(answer: &[u8]) -> bool {
    let head_end = answer.windows(4).position(|window| window == b"\r\n\r\n");
    let body = head_end.map_or(&[][..], |end| &answer[end + 4..]);
    body.starts_with(b"id: ") && !body.ends_with(b"\n\n")
}

/// Appends the contents of the chunks of a complete body.
fn extend_from_chunks(bytes: &mut BytesMut, body: &[u8]) {
    let mut rest = body;
    while let Some(line) = rest.windows(2).position(|pair| pair == b"\r\n") {
        let digits = String::from_utf8_lossy(&rest[..line]).into_owned();
        let size = usize::from_str_radix(digits.trim(), 16).unwrap_or_default();
        let chunk = line + 2..line + 2 + size;
        bytes.extend_from_slice(rest.get(chunk.clone()).unwrap_or_default());
        rest = rest.get(chunk.end + 2..).unwrap_or_default();
    }
}
