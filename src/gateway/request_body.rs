use super::call_end::{CallEnd, NotRunReason};
use super::run_open::refuse;
use crate::held_bytes::{BodyBuffer, ByteBudget};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::StatusCode;
use hyper::body::{Body, Incoming};
use std::time::Duration;

/// What the bodies of all requests in flight occupy together: five of the 4 MiB that the deployments allow for one, of the
/// 110 MB of a small host; answers take 16 MiB, see [`crate::engines::ALL_ANSWERS_BYTES`].
pub(super) const ALL_REQUESTS_BYTES: usize = 24 << 20;
/// How long the rest of a refused body is read: 4 MiB from a caller with 8 Mbit/s.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(5);

/// Reads the body of a caller's request, of at most `max_bytes`. It counts against `budget` until the request has ended and
/// no server is sent it any more.
///
/// A body that the budget does not admit is refused before it is read, if its length is stated, and its caller told when to
/// come back: at another host it may be served at once.
pub(super) async fn read_body(
    budget: &ByteBudget,
    body: Incoming,
    max_bytes: usize,
) -> Result<Bytes, CallEnd> {
    let stated_bytes = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if stated_bytes > max_bytes {
        return Err(too_large());
    }
    if !budget.admits(stated_bytes) {
        return Err(refuse_body(body));
    }
    let mut body = body;
    let mut buffer = BodyBuffer::new(budget, max_bytes);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| {
            log::debug!("event=body_broken cause=\"{error}\"");
            CallEnd::Improper(StatusCode::BAD_REQUEST, "body_broken")
        })?;
        let Ok(data) = frame.into_data() else { continue };
        if buffer.len() + data.len() > max_bytes {
            return Err(too_large());
        }
        if buffer.push(&data).is_err() {
            return Err(refuse_body(body));
        }
    }
    Ok(buffer.freeze())
}

/// Refuses a request for lack of room. The rest of its body is read and dropped: closing a connection with unread bytes
/// resets it, and the caller would lose the answer.
fn refuse_body(mut body: Incoming) -> CallEnd {
    tokio::spawn(async move {
        let rest = async { while let Some(Ok(_)) = body.frame().await {} };
        // A caller that sends for longer loses its connection.
        let _ = tokio::time::timeout(DISCARD_TIMEOUT, rest).await;
    });
    refuse(NotRunReason::NoBodyRoom)
}

fn too_large() -> CallEnd {
    CallEnd::Improper(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large")
}
