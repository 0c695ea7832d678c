use super::caller_body::{CallerAnswer, CallerBody};
use super::gateway_host::GatewayHost;
use crate::platform::READY_PATH;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;

const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// What an HTTP endpoint for the platform serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum EndpointKind {
    /// Readiness: whether the platform may route callers to this host.
    Ready,
    /// Metrics as text.
    Metrics,
}

/// Serves an HTTP endpoint for the platform.
pub(super) async fn serve_endpoint(
    listener: TcpListener,
    host: Arc<GatewayHost>,
    kind: EndpointKind,
) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("event=accept_failed cause=\"{error}\"");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let host = Arc::clone(&host);
        tokio::spawn(async move {
            let service = service_fn(move |request| answer(Arc::clone(&host), kind, request));
            let connection = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                log::debug!("event=question_connection_ended cause=\"{error}\"");
            }
        });
    }
}

async fn answer(
    host: Arc<GatewayHost>,
    kind: EndpointKind,
    request: Request<Incoming>,
) -> Result<CallerAnswer, Infallible> {
    let (status, body) = match kind {
        EndpointKind::Ready if request.uri().path() != READY_PATH => {
            (StatusCode::NOT_FOUND, String::new())
        }
        EndpointKind::Ready if host.is_ready() => (StatusCode::OK, String::new()),
        EndpointKind::Ready => (StatusCode::SERVICE_UNAVAILABLE, String::new()),
        EndpointKind::Metrics => (StatusCode::OK, host.metrics().prometheus_text()),
    };
    let mut answer = Response::new(CallerBody::Whole(Some(Bytes::from(body))));
    *answer.status_mut() = status;
    Ok(answer)
}
