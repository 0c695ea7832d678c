use super::answer_body::AnswerBody;
use super::caller_headers::CallerHeaders;
use super::{CallerError, CallerResponse, CompletionBody, whole_response};
use crate::host::{AnswerPart, AnswerText, CompletionRequest, HostState, run_completion};
use crate::intents::ClusterConfig;
use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::{HeaderMap, Response, StatusCode};
use serde_json::json;
use std::sync::Arc;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

/// Handles a completion request. An error is returned as the response if no token was sent yet, and
/// as the last event of a stream otherwise.
pub(super) async fn complete(
    host: &Arc<HostState>,
    headers: &HeaderMap,
    body: &[u8],
) -> Result<CallerResponse, CallerError> {
    let config = host.config();
    let headers = CallerHeaders::read(headers, &config)?;
    let body = CompletionBody::try_from(body)?;
    let request = check_request(host, &config, &headers, &body)?;
    let (request_id, trace) = (request.id.clone(), request.trace);
    let (sink, mut parts) = unbounded_channel();
    // A separate task, which detects by the closed channel that the caller left.
    tokio::spawn(run_completion(Arc::clone(host), request, sink));
    let first = parts.recv().await;
    let id_value = request_id.parse();
    let mut response = match first {
        Some(AnswerPart::Failed(failure)) => CallerError::from(failure).response(),
        None => CallerError::internal().response(),
        Some(first) if body.stream => stream_response(request_id, first, parts),
        Some(first) => collect_response(&body, request_id, first, parts).await,
    };
    if let Ok(value) = trace.to_string().parse() {
        response.headers_mut().insert("traceparent", value);
    }
    if let Ok(value) = id_value {
        response.headers_mut().insert("tealcleat-request", value);
    }
    Ok(response)
}

/// Validates the request against the configuration.
fn check_request(
    host: &HostState,
    config: &ClusterConfig,
    headers: &CallerHeaders,
    body: &CompletionBody,
) -> Result<CompletionRequest, CallerError> {
    let model = config.model(&body.model).cloned().ok_or_else(|| {
        CallerError::invalid("unknown_model", format!("model {:?} is not served", body.model))
            .with_status(StatusCode::NOT_FOUND)
    })?;
    if let Some(adapter) = &body.adapter
        && !model.adapters.contains(adapter)
    {
        let message = format!("model {:?} has no adapter {adapter:?}", body.model);
        return Err(
            CallerError::invalid("unknown_adapter", message).with_status(StatusCode::NOT_FOUND)
        );
    }
    let target = headers.class.first_token();
    Ok(CompletionRequest {
        id: format!("r-{}", host.new_attempt()),
        model,
        adapter: body.adapter.clone(),
        prompt: body.prompt.clone(),
        max_tokens: body.max_tokens,
        class: headers.class.clone(),
        organisation: headers.organisation.clone(),
        first_token: headers.deadline.map_or(target, |deadline| deadline.min(target)),
        trace: headers.trace.child(),
    })
}

/// Streams the parts of an answer as server-sent events.
fn stream_response(
    request_id: String,
    first: AnswerPart,
    parts: UnboundedReceiver<AnswerPart>,
) -> CallerResponse {
    let body = UnsyncBoxBody::new(AnswerBody::new(request_id, first, parts));
    let mut response = Response::new(body);
    let headers = response.headers_mut();
    headers.insert("content-type", hyper::header::HeaderValue::from_static("text/event-stream"));
    headers.insert("cache-control", hyper::header::HeaderValue::from_static("no-store"));
    response
}

/// Collects all parts of an answer into one JSON response.
async fn collect_response(
    body: &CompletionBody,
    request_id: String,
    first: AnswerPart,
    mut parts: UnboundedReceiver<AnswerPart>,
) -> CallerResponse {
    let mut tokens = Vec::new();
    let mut next = Some(first);
    while let Some(part) = next {
        match part {
            AnswerPart::Token(token) => tokens.push(token),
            AnswerPart::Done(finish) => {
                let text: String = tokens.iter().map(AnswerText::as_str).collect();
                let answer = json!({"id": request_id, "object": "text_completion",
                    "model": body.model,
                    "choices": [{"index": 0, "text": text, "finish_reason": finish}],
                    "usage": {"completion_tokens": tokens.len()}});
                let bytes = Bytes::from(answer.to_string());
                return whole_response(StatusCode::OK, "application/json", bytes);
            }
            AnswerPart::Failed(failure) => return CallerError::from(failure).response(),
        }
        next = parts.recv().await;
    }
    CallerError::internal().response()
}
