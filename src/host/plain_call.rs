//! Calls to plain services that may be repeated.

use super::host_state::HostState;
use super::in_flight::InFlight;
use super::service_call::call_service;
use crate::claims::StoredAnswer;
use crate::engines::HttpPool;
use crate::intents::ServiceSpec;
use crate::telemetry::TraceParent;
use crate::{Error, Result};
use bytes::Bytes;
use http_body_util::Full;
use std::sync::Arc;
use std::time::Duration;

const CALL_LIMIT: Duration = Duration::from_secs(10);

/// Forwards a call that may be repeated; tries each server of the service once.
///
/// # Errors
/// If no server answered; the call may have run.
pub async fn forward_plain(
    host: &Arc<HostState>,
    service: &ServiceSpec,
    method: &str,
    path: &str,
    body: Bytes,
    trace: TraceParent,
) -> Result<StoredAnswer> {
    let _flight = InFlight::begin(host);
    let began = host.now();
    let count = service.addresses.len();
    let start = rand::random::<u32>() as usize;
    let mut last = Error::Refused(format!("service {} has no servers", service.name));
    for turn in 0..count {
        let address = service.addresses[(start + turn) % count];
        let request = http::Request::builder()
            .method(method)
            .uri(path)
            .header("host", address.to_string())
            .header("traceparent", trace.to_string())
            .body(Full::new(body.clone()))
            .map_err(|error| Error::Protocol(error.to_string()))?;
        let call = async { call_service(HttpPool::connect(address).await?, request).await };
        match tokio::time::timeout(CALL_LIMIT, call).await {
            Ok(Ok(answer)) => {
                host.note_span(trace, "service", began, format!("server={address}"));
                return Ok(answer);
            }
            Ok(Err(error)) => last = error,
            Err(_) => last = Error::Timeout,
        }
    }
    Err(last)
}
