//! Splits a JSON text into its parts without decoding them, so that one malformed part does not make the others
//! unreadable.

use crate::{Error, Result};

/// Returns the name and the value of each member of an object. Skips members whose names cannot be decoded.
///
/// # Errors
/// If the text is not an object with balanced brackets.
pub(super) fn split_object(text: &[u8]) -> Result<Vec<(String, &[u8])>> {
    let parts = split_parts(text, b'{', b'}')?;
    Ok(parts.into_iter().filter_map(split_member).collect())
}

/// Returns the elements of an array.
///
/// # Errors
/// If the text is not an array with balanced brackets.
pub(super) fn split_array(text: &[u8]) -> Result<Vec<&[u8]>> {
    split_parts(text, b'[', b']')
}

fn split_parts(text: &[u8], open: u8, close: u8) -> Result<Vec<&[u8]>> {
    let text = text.trim_ascii();
    let inner = text.strip_prefix(&[open]).and_then(|rest| rest.strip_suffix(&[close]));
    let inner = inner.ok_or_else(|| unbalanced(open))?;
    let mut parts = Vec::new();
    let mut scanner = PartScanner::default();
    let mut start = 0;
    for (offset, byte) in inner.iter().enumerate() {
        if scanner.advance(*byte) {
            parts.push(inner[start..offset].trim_ascii());
            start = offset + 1;
        }
        if scanner.depth < 0 {
            return Err(unbalanced(open));
        }
    }
    if scanner.depth != 0 || scanner.in_string {
        return Err(unbalanced(open));
    }
    let last = inner[start..].trim_ascii();
    if !(parts.is_empty() && last.is_empty()) {
        parts.push(last);
    }
    Ok(parts)
}

fn split_member(part: &[u8]) -> Option<(String, &[u8])> {
    let mut scanner = PartScanner::default();
    let colon = part.iter().position(|byte| {
        let is_top_level = scanner.is_top_level();
        scanner.advance(*byte);
        is_top_level && *byte == b':'
    })?;
    let name = serde_json::from_slice(&part[..colon]).ok()?;
    Some((name, part[colon + 1..].trim_ascii()))
}

fn unbalanced(open: u8) -> Error {
    Error::Protocol(format!(
        "expected JSON that begins with {:?} and is balanced",
        char::from(open)
    ))
}

/// Scanner state within a JSON text.
#[derive(Debug, Default)]
struct PartScanner {
    /// Number of open brackets.
    depth: i64,
    in_string: bool,
    /// Whether the previous byte was a backslash that escapes the next byte.
    is_escaped: bool,
}

impl PartScanner {
    fn is_top_level(&self) -> bool {
        self.depth == 0 && !self.in_string
    }

    /// Advances over a byte; returns true if it is a comma between two parts.
    fn advance(&mut self, byte: u8) -> bool {
        if self.in_string {
            self.advance_in_string(byte);
            return false;
        }
        match byte {
            b'"' => self.in_string = true,
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => self.depth -= 1,
            _ => {}
        }
        byte == b',' && self.depth == 0
    }

    fn advance_in_string(&mut self, byte: u8) {
        if self.is_escaped {
            self.is_escaped = false;
            return;
        }
        match byte {
            b'\\' => self.is_escaped = true,
            b'"' => self.in_string = false,
            _ => {}
        }
    }
}
