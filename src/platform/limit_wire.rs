//! Reads the limits that backend servers name in their answers.

use super::names;
use crate::server_limits::ServerLimit;
use http::HeaderMap;

/// What an answer says of its server's limit.
#[derive(Debug, Clone, PartialEq)]
pub enum LimitHeader {
    /// Nothing.
    Absent,
    /// This is its limit; the lowest, if several are named.
    Valid(ServerLimit),
    /// Something that is no limit.
    Malformed(String),
}

/// Reads the limit that an answer names which is known to belong to the request.
pub fn read_limit(headers: &HeaderMap) -> LimitHeader {
    let mut lowest = LimitHeader::Absent;
    for value in headers.get_all(names::SERVER_LIMIT) {
        let text = String::from_utf8_lossy(value.as_bytes());
        let Ok(limit) = ServerLimit::try_from(text.trim()) else {
            return LimitHeader::Malformed(text.into_owned());
        };
        lowest = match lowest {
            LimitHeader::Valid(known) if known <= limit => LimitHeader::Valid(known),
            _ => LimitHeader::Valid(limit),
        };
    }
    lowest
}
