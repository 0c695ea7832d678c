//! One exchange with a server of a plain service.

use crate::claims::StoredAnswer;
use crate::engines::has_explicit_end;
use crate::{Error, Result};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::client::conn::http1::SendRequest;
use serde::de::IgnoredAny;

/// Sends a call on a connection that carries no other one, and reads the whole answer.
///
/// Services send nothing back by which a late second answer could be told from the next call's, so a
/// kept connection could give one caller's answer to another.
///
/// # Errors
/// [`Error::Truncated`] if the answer may not be whole; any error if the call may have run.
pub(super) async fn call_service(
    mut sender: SendRequest<Full<Bytes>>,
    request: Request<Full<Bytes>>,
) -> Result<StoredAnswer> {
    let response = sender.send_request(request).await?;
    let status = response.status().as_u16();
    let has_explicit_end = has_explicit_end(&response);
    let body = response.into_body().collect().await?.to_bytes().to_vec();
    // Where only the end of the connection ends an answer, one that broke off looks the same.
    if !has_explicit_end && serde_json::from_slice::<IgnoredAny>(&body).is_err() {
        return Err(Error::Truncated);
    }
    Ok(StoredAnswer { status, body })
}
