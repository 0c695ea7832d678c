//! The HTTP server for callers, which streams answers as server-sent events.
//!
//! It uses `hyper` instead of `rouille` because `hyper` forwards each token as soon as it arrives
//! and detects a caller who leaves while nothing is being sent (docs/DEPENDENCIES.md has the
//! comparison).

mod answer_body;
mod caller_error;
mod caller_headers;
mod caller_server;
mod completion_body;
mod completion_route;
mod service_route;

pub use answer_body::AnswerBody;
pub use caller_error::{CallerError, ErrorOutcome};
pub use caller_server::serve_callers;
pub use completion_body::CompletionBody;

use crate::Error;
use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::{Response, StatusCode};

/// An HTTP response to a caller.
pub(crate) type CallerResponse = Response<UnsyncBoxBody<Bytes, Error>>;

/// Creates a response with a complete body of the given content type.
pub(crate) fn whole_response(status: StatusCode, kind: &str, body: Bytes) -> CallerResponse {
    let boxed = UnsyncBoxBody::new(Full::new(body).map_err(|never| match never {}));
    let mut response = Response::new(boxed);
    *response.status_mut() = status;
    if let Ok(value) = kind.parse() {
        response.headers_mut().insert("content-type", value);
    }
    response
}
