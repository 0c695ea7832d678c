use super::call_end::{CallEnd, NotRunReason};
use super::run_open::refuse;
use crate::held_bytes::ByteBudget;
use crate::open_connections::{BodyRefusal, ConnectionGauge, read_body};
use bytes::Bytes;
use hyper::StatusCode;
use hyper::body::Incoming;
use std::time::Duration;

/// Reads the body of a caller's request, of at most `max_bytes`. Once `time_limit` has passed its caller has left, and what
/// arrived makes room for others.
///
/// The caller of a body without room is told when to come back: at another host it may be served at once.
pub(super) async fn read_request_body(
    budget: &ByteBudget,
    body: Incoming,
    max_bytes: usize,
    time_limit: Duration,
    gauge: &ConnectionGauge,
) -> Result<Bytes, CallEnd> {
    let reading = read_body(budget, body, max_bytes, gauge);
    let Ok(read) = tokio::time::timeout(time_limit, reading).await else {
        return Err(refuse(NotRunReason::OutOfTime));
    };
    read.map_err(|refusal| match refusal {
        BodyRefusal::TooLarge => CallEnd::Improper(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large"),
        BodyRefusal::NoRoom => refuse(NotRunReason::NoBodyRoom),
        BodyRefusal::Broken(error) => {
            log::debug!("event=body_broken cause=\"{error}\"");
            CallEnd::Improper(StatusCode::BAD_REQUEST, "body_broken")
        }
    })
}
