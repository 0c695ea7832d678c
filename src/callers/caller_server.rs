use super::completion_route::complete;
use super::service_route::{call_service, issue_ticket};
use super::{CallerError, CallerResponse, ErrorOutcome, whole_response};
use crate::host::HostState;
use crate::open_connections::{
    BodyRefusal, ConnectionGauge, HttpLimits, accept_connections, bound_socket_buffers, read_body,
    serve_http,
};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Limits on heads; the field of a caller's key and the names of an organisation and a class are short.
const HEAD_LIMITS: HttpLimits =
    HttpLimits { head_bytes: 16 << 10, head_wait: Duration::from_secs(15) };
/// Longest time in which a body arrives.
const BODY_TIMEOUT: Duration = Duration::from_secs(60);
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Accepts and serves callers' connections for as long as the daemon runs.
pub async fn serve_callers(listener: TcpListener, host: Arc<HostState>) {
    bound_socket_buffers(&listener);
    let room = Arc::clone(&host.callers);
    accept_connections(listener, room, |stream, gauge| {
        serve_connection(stream, gauge, Arc::clone(&host))
    })
    .await;
}

async fn serve_connection(stream: TcpStream, gauge: Arc<ConnectionGauge>, host: Arc<HostState>) {
    let answer = move |request, gauge| respond(Arc::clone(&host), request, gauge);
    serve_http(stream, gauge, HEAD_LIMITS, answer, std::future::pending::<()>()).await;
}

async fn respond(
    host: Arc<HostState>,
    request: Request<Incoming>,
    gauge: Arc<ConnectionGauge>,
) -> CallerResponse {
    let routed = route(&host, request, &gauge).await;
    routed.unwrap_or_else(|error| {
        log::debug!("event=caller_refused status={} reason={}", error.status, error.reason);
        error.response()
    })
}

async fn route(
    host: &Arc<HostState>,
    request: Request<Incoming>,
    gauge: &ConnectionGauge,
) -> Result<CallerResponse, CallerError> {
    let (parts, body) = request.into_parts();
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned();
    if path == "/healthz" {
        return Ok(text_response(StatusCode::OK, "ok\n"));
    }
    if path == "/readyz" {
        let ready = host.is_ready();
        let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        return Ok(text_response(status, if ready { "ready\n" } else { "not ready\n" }));
    }
    if !gauge.has_room() {
        return Err(not_run("no_room"));
    }
    check_ready(host)?;
    let body = read_request_body(host, body, gauge).await?;
    match path.as_str() {
        "/v1/completions" => {
            require_post(&parts.method)?;
            complete(host, &parts.headers, &body).await
        }
        "/v1/tickets" => {
            require_post(&parts.method)?;
            issue_ticket(host)
        }
        other => match other.strip_prefix("/s/") {
            Some(target) => call_service(host, &parts.method, target, &parts.headers, body).await,
            None => Err(CallerError::invalid("unknown_path", format!("no route for {other:?}"))
                .with_status(StatusCode::NOT_FOUND)),
        },
    }
}

fn check_ready(host: &HostState) -> Result<(), CallerError> {
    if host.is_ready() {
        return Ok(());
    }
    let reason = if host.is_draining() {
        "draining"
    } else if host.config().version == 0 {
        "no_configuration"
    } else {
        "starting"
    };
    Err(not_run(reason))
}

/// The answer to a request that this host does not take now.
fn not_run(reason: &str) -> CallerError {
    CallerError {
        status: StatusCode::SERVICE_UNAVAILABLE,
        outcome: ErrorOutcome::NotRun,
        reason: reason.to_owned(),
        message: "this host takes no requests now; another one may".to_owned(),
        retry_after: Some(RETRY_AFTER),
    }
}

fn require_post(method: &Method) -> Result<(), CallerError> {
    if method == Method::POST {
        return Ok(());
    }
    Err(CallerError::invalid("wrong_method", format!("use POST, not {method}"))
        .with_status(StatusCode::METHOD_NOT_ALLOWED))
}

async fn read_request_body(
    host: &HostState,
    body: Incoming,
    gauge: &ConnectionGauge,
) -> Result<Bytes, CallerError> {
    let limit = host.settings.body_limit_bytes;
    let reading = read_body(&host.request_bodies, body, limit, gauge);
    let read = tokio::time::timeout(BODY_TIMEOUT, reading).await;
    let read = read.map_err(|_elapsed| {
        let message = "the body did not arrive in time".to_owned();
        CallerError::invalid("body_too_slow", message).with_status(StatusCode::REQUEST_TIMEOUT)
    })?;
    read.map_err(|refusal| match refusal {
        BodyRefusal::TooLarge => {
            let message = format!("the body is longer than {limit} bytes");
            CallerError::invalid("body_too_large", message)
                .with_status(StatusCode::PAYLOAD_TOO_LARGE)
        }
        BodyRefusal::NoRoom => not_run("no_body_room"),
        BodyRefusal::Broken(error) => {
            CallerError::invalid("broken_body", format!("the body broke: {error}"))
        }
    })
}

fn text_response(status: StatusCode, text: &'static str) -> CallerResponse {
    whole_response(status, "text/plain", Bytes::from_static(text.as_bytes()))
}
