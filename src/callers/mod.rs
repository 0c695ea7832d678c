//! Callers is the edge to those who send requests: HTTP with server-sent events.
//!
//! `hyper` serves here instead of `rouille`: the first token leaves when it arrives, and a caller
//! who leaves is noticed although nothing is being sent (docs/DEPENDENCIES.md has the trial).

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

/// A response to a caller.
pub(crate) type CallerResponse = Response<UnsyncBoxBody<Bytes, Error>>;

/// A whole response with a body of the given type.
pub(crate) fn whole_response(status: StatusCode, kind: &str, body: Bytes) -> CallerResponse {
    let boxed = UnsyncBoxBody::new(Full::new(body).map_err(|never| match never {}));
    let mut response = Response::new(boxed);
    *response.status_mut() = status;
    if let Ok(value) = kind.parse() {
        response.headers_mut().insert("content-type", value);
    }
    response
}
