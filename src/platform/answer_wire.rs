//! Decodes the heads of backend servers' answers and encodes the heads of answers to callers.

use super::names;
use super::request_wire::{is_end_to_end, set_header};
use http::StatusCode;
use http::header::{HeaderMap, HeaderValue, RETRY_AFTER};
use hyper::Response;
use std::time::Duration;

/// Outcome of a request, as given by the head of a backend server's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerKind {
    /// A signed success.
    Success,
    /// The server did not run the request.
    NotRun,
    /// The server ran the request and failed.
    Failed,
    /// A success without a signature, or with an encoded body.
    Improper,
}

/// Reads the outcome from a backend server's answer. The answer must be known to belong to the request.
pub fn read_answer(response: &Response<impl Sized>) -> AnswerKind {
    let headers = response.headers();
    let status = response.status();
    if status == StatusCode::MISDIRECTED_REQUEST || headers.contains_key(names::NOT_RUN) {
        return AnswerKind::NotRun;
    }
    if status.is_success() {
        let encoded = headers.contains_key("content-encoding");
        let signed = headers.contains_key(names::STAMP);
        return if signed && !encoded { AnswerKind::Success } else { AnswerKind::Improper };
    }
    AnswerKind::Failed
}

/// Whether the body of an answer contains the head of another answer of a backend server.
///
/// An answer without a length extends to the end of its connection, so any further bytes on the connection become part
/// of its body. A late second answer to an earlier request reached the caller of a later request in this way.
pub fn contains_answer(body: &[u8]) -> bool {
    let text = String::from_utf8_lossy(body).to_ascii_lowercase();
    text.match_indices(STATUS_LINE).any(|(offset, _)| {
        let rest = &text[offset..];
        let head = rest.split("\r\n\r\n").next().unwrap_or(rest);
        head.contains(names::REQUEST_ID)
    })
}

/// Start of an answer's status line, in lower case.
const STATUS_LINE: &str = "http/1.";

/// Returns the headers of a backend server's answer that are passed on to its caller.
pub fn answer_headers(headers: &HeaderMap) -> HeaderMap {
    headers
        .iter()
        .filter(|(name, _)| is_end_to_end(headers, name) && name.as_str() != names::NOT_RUN)
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

/// Returns the headers of an answer that the router creates itself.
pub fn router_headers(request_id: &str, retry_after: Option<Duration>) -> HeaderMap {
    let mut headers = HeaderMap::new();
    if !request_id.is_empty() {
        set_header(&mut headers, names::REQUEST_ID, request_id);
    }
    if let Some(delay) = retry_after {
        let seconds = format!("{:.3}", delay.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(RETRY_AFTER, value);
        }
    }
    headers
}
