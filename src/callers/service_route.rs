use super::caller_headers::CallerHeaders;
use super::{CallerError, CallerResponse, ErrorOutcome, whole_response};
use crate::claims::StoredAnswer;
use crate::host::{HostState, OnceOutcome, OnceRequest, forward_plain, run_once};
use bytes::Bytes;
use hyper::{HeaderMap, Method, StatusCode};
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;

const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Handles a call to a plain service: `/s/SERVICE/PATH`.
pub(super) async fn call_service(
    host: &Arc<HostState>,
    method: &Method,
    target: &str,
    headers: &HeaderMap,
    body: Bytes,
) -> Result<CallerResponse, CallerError> {
    let config = host.config();
    let headers = CallerHeaders::read(headers, &config)?;
    let (name, path) = target.split_once('/').unwrap_or((target, ""));
    let path = format!("/{path}");
    let service = config.service(name).cloned().ok_or_else(|| {
        CallerError::invalid("unknown_service", format!("service {name:?} is not routed"))
            .with_status(StatusCode::NOT_FOUND)
    })?;
    let bare_path = path.split('?').next().unwrap_or(&path);
    if !service.runs_once(method.as_str(), bare_path) {
        let forwarded =
            forward_plain(host, &service, method.as_str(), &path, body, headers.trace).await;
        return forwarded.map(service_response).map_err(|error| CallerError {
            status: StatusCode::BAD_GATEWAY,
            outcome: ErrorOutcome::Unknown,
            reason: "service_unreachable".to_owned(),
            message: format!("no server of the service answered: {error}"),
            retry_after: Some(RETRY_AFTER),
        });
    }
    if headers.key.is_none() && headers.ticket.is_none() {
        let message = "this call must not be repeated: send an idempotency-key or a ticket";
        return Err(CallerError::invalid("missing_key", message));
    }
    let request = OnceRequest {
        service,
        path,
        organisation: headers.organisation,
        key: headers.key,
        ticket: headers.ticket,
        body: body.to_vec(),
        trace: headers.trace.child(),
    };
    match run_once(Arc::clone(host), request).await {
        OnceOutcome::Answer(answer) => Ok(service_response(answer)),
        other => Err(once_error(&other)),
    }
}

/// Handles `POST /v1/tickets`: issues a ticket for one call that must run at most once.
pub(super) fn issue_ticket(host: &HostState) -> Result<CallerResponse, CallerError> {
    let ticket = host.issue_ticket().ok_or_else(|| CallerError {
        status: StatusCode::SERVICE_UNAVAILABLE,
        outcome: ErrorOutcome::NotRun,
        reason: "too_many_tickets".to_owned(),
        message: "too many tickets are out".to_owned(),
        retry_after: Some(RETRY_AFTER),
    })?;
    let body = json!({"ticket": ticket.to_string()}).to_string();
    Ok(whole_response(StatusCode::OK, "application/json", Bytes::from(body)))
}

fn service_response(answer: StoredAnswer) -> CallerResponse {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    whole_response(status, "application/json", answer.body)
}

fn once_error(once_outcome: &OnceOutcome) -> CallerError {
    let (status, outcome, reason, message, retry_after) = match once_outcome {
        OnceOutcome::InProgress => (
            StatusCode::CONFLICT,
            ErrorOutcome::Unknown,
            "in_progress",
            "the first attempt of this request still runs",
            Some(RETRY_AFTER),
        ),
        OnceOutcome::AlreadyAnswered => (
            StatusCode::CONFLICT,
            ErrorOutcome::Whole,
            "already_answered",
            "the request ran, and its answer went to another connection",
            None,
        ),
        OnceOutcome::OtherBody => (
            StatusCode::UNPROCESSABLE_ENTITY,
            ErrorOutcome::Unknown,
            "key_reused",
            "the key was used with another body",
            None,
        ),
        OnceOutcome::NotRun(reason) => (
            StatusCode::SERVICE_UNAVAILABLE,
            ErrorOutcome::NotRun,
            *reason,
            "the request did not run; send it again after the given time",
            Some(RETRY_AFTER),
        ),
        OnceOutcome::Unknown(reason) => (
            StatusCode::BAD_GATEWAY,
            ErrorOutcome::Unknown,
            *reason,
            "an attempt of this request may have run",
            Some(RETRY_AFTER),
        ),
        OnceOutcome::Answer(_) => unreachable!("an answer is not an error"),
    };
    let (reason, message) = (reason.to_owned(), message.to_owned());
    CallerError { status, outcome, reason, message, retry_after }
}
