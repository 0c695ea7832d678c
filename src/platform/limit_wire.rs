//! Reads the limits that backend servers name in their answers.

use super::names;
use crate::server_limits::ServerLimit;
use http::HeaderMap;

/// What an answer says of its server's limit.
#[derive(Debug, Clone, PartialEq)]
pub enum LimitNaming {
    /// Nothing.
    Absent,
    /// This is its limit; the lowest, if several are named.
    Named(ServerLimit),
    /// Something that is no limit.
    Malformed(String),
}

/// Reads the limit that an answer names which is known to belong to the request.
pub fn read_limit(headers: &HeaderMap) -> LimitNaming {
    let mut lowest = LimitNaming::Absent;
    for value in headers.get_all(names::SERVER_LIMIT) {
        let text = String::from_utf8_lossy(value.as_bytes());
        let Ok(limit) = ServerLimit::try_from(text.trim()) else {
            return LimitNaming::Malformed(text.into_owned());
        };
        lowest = match lowest {
            LimitNaming::Named(known) if known <= limit => LimitNaming::Named(known),
            _ => LimitNaming::Named(limit),
        };
    }
    lowest
}
