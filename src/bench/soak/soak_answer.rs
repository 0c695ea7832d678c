//! What may be wrong with a backend server's answers, and the bytes of such answers.

use bytes::{Bytes, BytesMut};

/// What a link does to answers that pass through it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AnswerFault {
    /// They are given again after a random short while, also while their connection rests.
    LateCopy,
    /// They are given again when the next request has arrived, ahead of its own answer.
    CopyAhead,
    /// They are given again at once.
    CopyBehind,
    /// They have no length and end with their connection.
    Unframed,
    /// They have no length, and are given again at once.
    UnframedTwice,
    /// They have no length, and their connection is reset in the middle of them. One that is closed there
    /// cannot be told from a whole one, and the platform counts it as such.
    UnframedReset,
    /// Their connection is reset in the middle of them.
    ResetMidway,
}

impl AnswerFault {
    pub const ALL: [Self; 7] = [
        Self::LateCopy,
        Self::CopyAhead,
        Self::CopyBehind,
        Self::Unframed,
        Self::UnframedTwice,
        Self::UnframedReset,
        Self::ResetMidway,
    ];
}

/// The same answer without a length: its end is the end of its connection.
pub(super) fn without_length(answer: &[u8]) -> Bytes {
    let Some(end) = answer.windows(4).position(|window| window == b"\r\n\r\n") else {
        return Bytes::copy_from_slice(answer);
    };
    let (head, body) = (&answer[..end], &answer[end + 4..]);
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

/// Adds what the chunks of a whole body hold.
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
