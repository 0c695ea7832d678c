//! One call to a server of a plain service.

use crate::claims::StoredAnswer;
use crate::engines::SingleCall;
use crate::{Error, Result};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use serde::de::IgnoredAny;

/// Sends a call and reads the whole answer.
///
/// The connection must not be reused: services send no id with their answers, so a late answer
/// could be mistaken for that of the next call and delivered to the wrong caller.
///
/// # Errors
/// [`Error::Truncated`] if the answer may be incomplete, [`Error::TooLong`] if it is too long to be held. After any error
/// the call may have run.
pub(super) async fn call_service(
    mut call: SingleCall,
    request: Request<Full<Bytes>>,
) -> Result<StoredAnswer> {
    let response = call.send(request).await?;
    let status = response.status().as_u16();
    let body = response.into_body();
    let has_explicit_end = body.has_explicit_end();
    let body = body.read_all().await?;
    call.complete();
    // If only the close of the connection ends the answer, a truncated answer looks like a whole
    // one; in that case the body must be complete JSON.
    if !has_explicit_end && serde_json::from_slice::<IgnoredAny>(&body).is_err() {
        return Err(Error::Truncated);
    }
    Ok(StoredAnswer { status, body })
}
