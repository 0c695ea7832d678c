use crate::{Error, Result};
use std::net::SocketAddr;
use std::time::Duration;

const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Calls an HTTP server and returns status and body. Blocks until the response is complete.
///
/// # Errors
/// If no response arrives.
pub fn http_call(
    method: &str,
    url: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Result<(u16, String)> {
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(CALL_TIMEOUT))
        .build()
        .into();
    let mut builder = ureq::http::Request::builder().method(method).uri(url);
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    let request =
        builder.body(body.to_owned()).map_err(|error| Error::Protocol(error.to_string()))?;
    let mut response = agent.run(request)?;
    let status = response.status().as_u16();
    let text = response.body_mut().with_config().limit(64 << 20).read_to_string()?;
    Ok((status, text))
}

/// Calls the operators' port of a daemon and returns the response body. Blocks until it is complete.
///
/// # Errors
/// If no response arrives, or its status is not 200.
pub fn operator_call(
    address: SocketAddr,
    key: &str,
    method: &str,
    path: &str,
    body: &str,
) -> Result<String> {
    let authorization = format!("Bearer {key}");
    let headers = [("authorization", authorization.as_str())];
    let (status, text) = http_call(method, &format!("http://{address}{path}"), &headers, body)?;
    if status == 200 { Ok(text) } else { Err(Error::Refused(format!("{status}: {}", text.trim()))) }
}
