//! Cuts a JSON text into its parts without reading them, so that one part that cannot be read does not
//! lose the others.

use crate::{Error, Result};

/// Name and value of each member of an object. Members whose names cannot be read are left out.
///
/// # Errors
/// If the text is no object with closed brackets.
pub(super) fn split_object(text: &[u8]) -> Result<Vec<(String, &[u8])>> {
    let parts = split_parts(text, b'{', b'}')?;
    Ok(parts.into_iter().filter_map(split_member).collect())
}

/// The elements of an array.
///
/// # Errors
/// If the text is no array with closed brackets.
pub(super) fn split_array(text: &[u8]) -> Result<Vec<&[u8]>> {
    split_parts(text, b'[', b']')
}

fn split_parts(text: &[u8], open: u8, close: u8) -> Result<Vec<&[u8]>> {
    let text = text.trim_ascii();
    let inner = text.strip_prefix(&[open]).and_then(|rest| rest.strip_suffix(&[close]));
    let inner = inner.ok_or_else(|| not_closed(open))?;
    let mut parts = Vec::new();
    let mut scan = PartScan::default();
    let mut start = 0;
    for (place, byte) in inner.iter().enumerate() {
        if scan.ends_part(*byte) {
            parts.push(inner[start..place].trim_ascii());
            start = place + 1;
        }
        if scan.depth < 0 {
            return Err(not_closed(open));
        }
    }
    if scan.depth != 0 || scan.in_text {
        return Err(not_closed(open));
    }
    let last = inner[start..].trim_ascii();
    if !(parts.is_empty() && last.is_empty()) {
        parts.push(last);
    }
    Ok(parts)
}

fn split_member(part: &[u8]) -> Option<(String, &[u8])> {
    let mut scan = PartScan::default();
    let colon = part.iter().position(|byte| {
        let is_plain = scan.is_plain();
        scan.ends_part(*byte);
        is_plain && *byte == b':'
    })?;
    let name = serde_json::from_slice(&part[..colon]).ok()?;
    Some((name, part[colon + 1..].trim_ascii()))
}

fn not_closed(open: u8) -> Error {
    Error::Protocol(format!("no JSON that begins with {:?} and is closed", char::from(open)))
}

/// Where in a JSON text a byte stands.
#[derive(Debug, Default)]
struct PartScan {
    /// Brackets that are open.
    depth: i64,
    in_text: bool,
    /// The byte before was a backslash that stands for itself.
    is_escaped: bool,
}

impl PartScan {
    fn is_plain(&self) -> bool {
        self.depth == 0 && !self.in_text
    }

    /// Moves over a byte; true if it is a comma between two parts.
    fn ends_part(&mut self, byte: u8) -> bool {
        if self.in_text {
            self.move_in_text(byte);
            return false;
        }
        match byte {
            b'"' => self.in_text = true,
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => self.depth -= 1,
            _ => {}
        }
        byte == b',' && self.depth == 0
    }

    fn move_in_text(&mut self, byte: u8) {
        if self.is_escaped {
            self.is_escaped = false;
            return;
        }
        match byte {
            b'\\' => self.is_escaped = true,
            b'"' => self.in_text = false,
            _ => {}
        }
    }
}
