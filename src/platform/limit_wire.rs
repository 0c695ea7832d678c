//! Reads the limits that backend servers state in their answers.

use super::names;
use crate::server_limits::ServerLimit;
use http::HeaderMap;

/// The limit of its server that an answer states.
#[derive(Debug, Clone, PartialEq)]
pub enum LimitHeader {
    /// The answer states no limit.
    Absent,
    /// The stated limit; the lowest one if the answer states several.
    Valid(ServerLimit),
    /// A header value that is not a limit.
    Malformed(String),
}

/// Reads the limit from the headers of an answer. The answer must be known to belong to the request.
pub fn read_limit(headers: &HeaderMap) -> LimitHeader {
    let mut lowest = LimitHeader::Absent;
    for value in headers.get_all(names::SERVER_LIMIT) {
        let text = String::from_utf8_lossy(value.as_bytes());
        let Ok(limit) = ServerLimit::try_from(text.trim()) else {
            return LimitHeader::Malformed(text.into_owned());
        };
        lowest = match lowest {
            LimitHeader::Valid(previous) if previous <= limit => LimitHeader::Valid(previous),
            _ => LimitHeader::Valid(limit),
        };
    }
    lowest
}
