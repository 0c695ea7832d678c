use super::ConnectionGauge;
use crate::held_bytes::{BodyBuffer, ByteBudget};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use std::time::Duration;

/// How long the rest of a refused body is read: 4 MiB from a caller with 8 Mbit/s.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(5);

/// Why the body of a request was not read.
#[derive(Debug)]
pub enum BodyRefusal {
    /// It is longer than the limit on one body.
    TooLarge,
    /// The bodies of the requests in flight leave no room for it.
    NoRoom,
    /// The connection broke, or the bytes are no body.
    Broken(hyper::Error),
}

/// Reads the body of a request, of at most `max_bytes`. It counts against `budget` until the request has ended and no server
/// is sent it any more.
///
/// A body that the budget does not admit is refused before it is read, if its length is stated. One that has stalled then
/// makes room for those that come later.
///
/// # Errors
/// If it was not read to its end.
pub async fn read_body(
    budget: &ByteBudget,
    body: Incoming,
    max_bytes: usize,
    gauge: &ConnectionGauge,
) -> Result<Bytes, BodyRefusal> {
    let stated_bytes = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if stated_bytes > max_bytes {
        return Err(BodyRefusal::TooLarge);
    }
    if !budget.admits(stated_bytes) {
        return Err(refuse_body(body, gauge));
    }
    let mut body = body;
    let mut buffer = BodyBuffer::new(budget, max_bytes);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(BodyRefusal::Broken)?.into_data() else { continue };
        if buffer.len() + data.len() > max_bytes {
            return Err(BodyRefusal::TooLarge);
        }
        if buffer.push(&data).is_err() {
            return Err(refuse_body(body, gauge));
        }
    }
    gauge.end_receiving();
    Ok(buffer.freeze())
}

/// Refuses a body for want of room. The rest of it is read and dropped: closing a connection with unread bytes resets it,
/// and the caller would lose the answer.
fn refuse_body(mut body: Incoming, gauge: &ConnectionGauge) -> BodyRefusal {
    gauge.close_stalled_request();
    tokio::spawn(async move {
        let rest = async { while let Some(Ok(_)) = body.frame().await {} };
        // A caller that sends for longer loses its connection.
        let _ = tokio::time::timeout(DISCARD_TIMEOUT, rest).await;
    });
    BodyRefusal::NoRoom
}
