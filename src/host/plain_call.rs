//! Calls to plain services that are safe to retry.

use super::host_state::HostState;
use super::in_flight_guard::InFlightGuard;
use super::service_call::call_service;
use crate::claims::StoredAnswer;
use crate::engines::SingleCall;
use crate::intents::ServiceSpec;
use crate::telemetry::TraceParent;
use crate::{Error, Result};
use bytes::Bytes;
use http_body_util::Full;
use std::sync::Arc;
use std::time::Duration;

const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Forwards a call that is safe to retry, trying each server of the service once.
///
/// # Errors
/// If no server answered; the call may still have run.
pub async fn forward_plain(
    host: &Arc<HostState>,
    service: &ServiceSpec,
    method: &str,
    path: &str,
    body: Bytes,
    trace: TraceParent,
) -> Result<StoredAnswer> {
    let _in_flight = InFlightGuard::begin(host);
    let started_at = host.now();
    let count = service.addresses.len();
    let start = rand::random::<u32>() as usize;
    let mut last_error = Error::Refused(format!("service {} has no servers", service.name));
    for offset in 0..count {
        let address = service.addresses[(start + offset) % count];
        let request = http::Request::builder()
            .method(method)
            .uri(path)
            .header("host", address.to_string())
            .header("traceparent", trace.to_string())
            .body(Full::new(body.clone()))
            .map_err(|error| Error::Protocol(error.to_string()))?;
        let call = async {
            let connected = SingleCall::connect(address, host.answer_bytes()).await?;
            call_service(connected, request).await
        };
        match tokio::time::timeout(CALL_TIMEOUT, call).await {
            Ok(Ok(answer)) => {
                host.record_span(trace, "service", started_at, format!("server={address}"));
                return Ok(answer);
            }
            Ok(Err(error)) => last_error = error,
            Err(_) => last_error = Error::Timeout,
        }
    }
    Err(last_error)
}
