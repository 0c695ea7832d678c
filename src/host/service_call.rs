//! One call to a server of a plain service.

use crate::claims::StoredAnswer;
use crate::engines::{SingleCall, has_explicit_end};
use crate::{Error, Result};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use serde::de::IgnoredAny;

/// Sends a call and reads the whole answer.
///
/// The connection must not be reused: services send no id with their answers, so a late answer
/// could be mistaken for that of the next call and delivered to the wrong caller.
///
/// # Errors
/// [`Error::Truncated`] if the answer may be incomplete. After any error the call may have run.
pub(super) async fn call_service(
    mut call: SingleCall,
    request: Request<Full<Bytes>>,
) -> Result<StoredAnswer> {
    let response = call.send(request).await?;
    let status = response.status().as_u16();
    let has_explicit_end = has_explicit_end(&response);
    let body = response.into_body().collect().await?.to_bytes().to_vec();
    call.complete();
    // If only the close of the connection ends the answer, a truncated answer looks like a whole
    // one; in that case the body must be complete JSON.
    if !has_explicit_end && serde_json::from_slice::<IgnoredAny>(&body).is_err() {
        return Err(Error::Truncated);
    }
    Ok(StoredAnswer { status, body })
}
