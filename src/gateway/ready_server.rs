use super::caller_body::{CallerAnswer, CallerBody};
use super::gateway_host::GatewayHost;
use crate::open_connections::{
    ConnectionGauge, HttpLimits, accept_connections, bound_socket_buffers, serve_http,
};
use crate::platform::READY_PATH;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// A probe sends some hundred bytes, and comes each second.
const PROBE_LIMITS: HttpLimits =
    HttpLimits { head_bytes: 8 << 10, head_wait: Duration::from_secs(5) };

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
    bound_socket_buffers(&listener);
    let room = match kind {
        EndpointKind::Ready => &host.rooms.ready,
        EndpointKind::Metrics => &host.rooms.metrics,
    };
    accept_connections(listener, Arc::clone(room), |stream, gauge| {
        serve_connection(stream, gauge, Arc::clone(&host), kind)
    })
    .await;
}

async fn serve_connection(
    stream: TcpStream,
    gauge: Arc<ConnectionGauge>,
    host: Arc<GatewayHost>,
    kind: EndpointKind,
) {
    let answer = move |request: Request<Incoming>, _gauge| {
        std::future::ready(answer_probe(&host, kind, request.uri().path()))
    };
    serve_http(stream, gauge, PROBE_LIMITS, answer, std::future::pending::<()>()).await;
}

fn answer_probe(host: &GatewayHost, kind: EndpointKind, path: &str) -> CallerAnswer {
    let (status, body) = match kind {
        EndpointKind::Ready if path != READY_PATH => (StatusCode::NOT_FOUND, String::new()),
        EndpointKind::Ready if host.is_ready() => (StatusCode::OK, String::new()),
        EndpointKind::Ready => (StatusCode::SERVICE_UNAVAILABLE, String::new()),
        EndpointKind::Metrics => (StatusCode::OK, host.metrics_text()),
    };
    let mut answer = Response::new(CallerBody::Whole(Some(Bytes::from(body))));
    *answer.status_mut() = status;
    answer
}
