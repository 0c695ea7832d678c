use super::completion_route::complete;
use super::service_route::{call_service, issue_ticket};
use super::{CallerError, CallerResponse, ErrorOutcome, whole_response};
use crate::host::HostState;
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;

const HEADER_TIMEOUT: Duration = Duration::from_secs(15);
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Accepts and serves callers' connections for as long as the daemon runs.
pub async fn serve_callers(listener: TcpListener, host: Arc<HostState>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let host = Arc::clone(&host);
        tokio::spawn(async move {
            let service = service_fn(move |request| respond(Arc::clone(&host), request));
            let connection = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEADER_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                log::debug!("event=caller_connection_ended cause=\"{error}\"");
            }
        });
    }
}

async fn respond(
    host: Arc<HostState>,
    request: Request<Incoming>,
) -> Result<CallerResponse, Infallible> {
    let routed = route(&host, request).await;
    Ok(routed.unwrap_or_else(|error| {
        log::debug!("event=caller_refused status={} reason={}", error.status, error.reason);
        error.response()
    }))
}

async fn route(
    host: &Arc<HostState>,
    request: Request<Incoming>,
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
    check_ready(host)?;
    let body = read_body(body, host.settings.body_limit_bytes).await?;
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
    Err(CallerError {
        status: StatusCode::SERVICE_UNAVAILABLE,
        outcome: ErrorOutcome::NotRun,
        reason: reason.to_owned(),
        message: "this host takes no requests now; another one may".to_owned(),
        retry_after: Some(RETRY_AFTER),
    })
}

fn require_post(method: &Method) -> Result<(), CallerError> {
    if method == Method::POST {
        return Ok(());
    }
    Err(CallerError::invalid("wrong_method", format!("use POST, not {method}"))
        .with_status(StatusCode::METHOD_NOT_ALLOWED))
}

async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, CallerError> {
    match Limited::new(body, limit).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.downcast_ref::<LengthLimitError>().is_some() => {
            let message = format!("the body is longer than {limit} bytes");
            Err(CallerError::invalid("body_too_large", message)
                .with_status(StatusCode::PAYLOAD_TOO_LARGE))
        }
        Err(error) => Err(CallerError::invalid("broken_body", format!("the body broke: {error}"))),
    }
}

fn text_response(status: StatusCode, text: &'static str) -> CallerResponse {
    whole_response(status, "text/plain", Bytes::from_static(text.as_bytes()))
}
