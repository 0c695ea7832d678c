//! The error type of this crate.

use crate::connections::UndeliveredBytes;
use crate::engines::AnswerOwner;
use crate::settings::SettingsFindings;
use http::StatusCode;

/// Result of any fallible operation in this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// An error of this crate, by its kind.
#[derive(Debug)]
pub enum Error {
    /// An I/O operation on a socket, file or terminal failed.
    Io(std::io::Error),
    /// A settings file or an intent is invalid; each finding has its location.
    Settings(SettingsFindings),
    /// The other side violated the protocol or refused it.
    Protocol(String),
    /// A peer did not prove that it knows the shared key.
    Unauthenticated,
    /// The other side did not answer within the allowed time.
    Timeout,
    /// It is certain that no part of the request was sent.
    NotSent(String),
    /// The request was refused, with the reason given.
    Refused(String),
    /// An answer exceeds the bound of its head or body, or what the host may hold of all of them.
    TooLong {
        /// Bytes of the body that were received.
        received: usize,
    },
    /// An answer ended without proof that it is complete.
    Truncated,
    /// The received answer may belong to another call, so the outcome of this call is unknown.
    Foreign {
        /// The call that the answer belongs to, according to its id.
        owner: AnswerOwner,
        /// Status of the answer.
        status: StatusCode,
        /// Number of calls on the connection, including this one.
        calls: u32,
    },
}

impl Error {
    /// Whether the other side broke off during a call.
    pub fn is_break_off(&self) -> bool {
        match self {
            Self::Io(_) | Self::Protocol(_) | Self::Truncated => true,
            Self::Settings(_)
            | Self::Unauthenticated
            | Self::Timeout
            | Self::NotSent(_)
            | Self::Refused(_)
            | Self::TooLong { .. }
            | Self::Foreign { .. } => false,
        }
    }

    /// Whether the connection was refused because no process listens at the address.
    pub fn is_refused_connection(&self) -> bool {
        matches!(self, Self::Io(error) if error.kind() == std::io::ErrorKind::ConnectionRefused)
    }
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Io(error) => write!(f, "{error}"),
            Self::Settings(findings) => write!(f, "{findings}"),
            Self::Protocol(text) => write!(f, "protocol: {text}"),
            Self::Unauthenticated => {
                write!(f, "the peer did not prove that it knows the shared key")
            }
            Self::Timeout => write!(f, "no answer in time"),
            Self::NotSent(text) => write!(f, "not sent: {text}"),
            Self::Refused(text) => write!(f, "refused: {text}"),
            Self::TooLong { received } => {
                write!(f, "the answer is too long, {received} bytes were received")
            }
            Self::Truncated => write!(f, "the answer ended without proof that it is complete"),
            Self::Foreign { owner, status, calls } => {
                write!(
                    f,
                    "the answer {status} to call {calls} on a connection may belong to another call: {owner:?}"
                )
            }
        }
    }
}

impl std::error::Error for Error {}

impl From<std::io::Error> for Error {
    fn from(error: std::io::Error) -> Self {
        Self::Io(error)
    }
}

impl From<h2::Error> for Error {
    fn from(error: h2::Error) -> Self {
        Self::Protocol(error.to_string())
    }
}

impl From<hyper::Error> for Error {
    fn from(error: hyper::Error) -> Self {
        if error.is_parse_too_large() || is_undelivered(&error) {
            return Self::TooLong { received: 0 };
        }
        Self::Protocol(error.to_string())
    }
}

/// Whether a connection was ended because too much arrived on it without a part of an answer.
fn is_undelivered(error: &hyper::Error) -> bool {
    let source = std::error::Error::source(error);
    let io = source.and_then(|source| source.downcast_ref::<std::io::Error>());
    io.and_then(std::io::Error::get_ref).is_some_and(|inner| inner.is::<UndeliveredBytes>())
}

impl From<serde_json::Error> for Error {
    fn from(error: serde_json::Error) -> Self {
        Self::Protocol(error.to_string())
    }
}

impl From<bincode::error::DecodeError> for Error {
    fn from(error: bincode::error::DecodeError) -> Self {
        Self::Protocol(format!("broken frame: {error}"))
    }
}

impl From<bincode::error::EncodeError> for Error {
    fn from(error: bincode::error::EncodeError) -> Self {
        Self::Protocol(format!("cannot encode: {error}"))
    }
}

impl From<ureq::Error> for Error {
    fn from(error: ureq::Error) -> Self {
        match error {
            ureq::Error::Timeout(_) => Self::Timeout,
            other => Self::Protocol(other.to_string()),
        }
    }
}
