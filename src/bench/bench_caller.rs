use super::Deployment;
use crate::engines::HttpPool;
use crate::{Error, Result};
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How a call ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallResult {
    /// The caller received the complete answer.
    Complete,
    /// An error reply said that the request did not run.
    NotRun,
    /// An error reply said that the request may have run.
    Unknown,
    /// An error reply said that the answer went to another connection, or that the first attempt
    /// is still running.
    AnsweredElsewhere,
    /// The connection broke before a final answer; the text says how.
    Broken(String),
    /// The caller disconnected by itself, after a timeout or a number of tokens.
    Disconnected,
}

/// A completion as its caller observed it.
#[derive(Debug, Clone)]
pub struct Completion {
    /// How it ended.
    pub result: CallResult,
    /// Id that the router gave the request, if a response head arrived.
    pub request_id: Option<String>,
    /// Tokens received.
    pub tokens: Vec<String>,
    /// Time from sending the request to the first token.
    pub first_token: Option<Duration>,
    /// Times between tokens.
    pub token_gaps: Vec<Duration>,
    /// HTTP status; zero if no response head arrived.
    pub status: u16,
    /// Reason that the error reply gave; empty if there was none.
    pub reason: String,
}

/// A client that calls the hosts of one deployment.
#[derive(Debug, Clone)]
pub struct BenchCaller {
    model: &'static str,
    service: &'static str,
    once_path: &'static str,
}

impl BenchCaller {
    /// Creates a client of `deployment`.
    pub fn new(deployment: &Deployment) -> Self {
        Self {
            model: deployment.model,
            service: deployment.service,
            once_path: deployment.once_path,
        }
    }

    /// Streams a completion; disconnects after `timeout`, or after `disconnect_after` tokens.
    pub async fn complete(
        &self,
        host: SocketAddr,
        organisation: &str,
        prompt: &str,
        timeout: Duration,
        disconnect_after: Option<usize>,
    ) -> Completion {
        let mut completion = Completion {
            result: CallResult::Disconnected,
            request_id: None,
            tokens: Vec::new(),
            first_token: None,
            token_gaps: Vec::new(),
            status: 0,
            reason: String::new(),
        };
        let body =
            json!({"model": self.model, "prompt": prompt, "max_tokens": 160, "stream": true});
        let stream_read =
            self.read_stream(host, organisation, &body, &mut completion, disconnect_after);
        match tokio::time::timeout(timeout, stream_read).await {
            Ok(Ok(result)) => completion.result = result,
            Ok(Err(error)) => completion.result = CallResult::Broken(error.to_string()),
            Err(_) => completion.result = CallResult::Disconnected,
        }
        completion
    }

    async fn read_stream(
        &self,
        host: SocketAddr,
        organisation: &str,
        body: &Value,
        completion: &mut Completion,
        disconnect_after: Option<usize>,
    ) -> Result<CallResult> {
        let request = request_builder(host, "/v1/completions", organisation)
            .body(Full::new(Bytes::from(body.to_string())))
            .map_err(|error| Error::Protocol(error.to_string()))?;
        let mut sender = HttpPool::connect(host).await?;
        let sent_at = Instant::now();
        let response = sender.send_request(request).await?;
        completion.status = response.status().as_u16();
        let request_id = response.headers().get("tealcleat-request");
        completion.request_id = request_id.and_then(|value| value.to_str().ok()).map(str::to_owned);
        let mut body = response.into_body();
        if completion.status != 200 {
            let bytes = body.collect().await?.to_bytes();
            return Ok(record_error(&bytes, completion));
        }
        let mut buffer = BytesMut::new();
        let mut last_token_at = sent_at;
        while let Some(frame) = body.frame().await {
            if let Ok(data) = frame?.into_data() {
                buffer.extend_from_slice(&data);
            }
            while let Some(end) = buffer.windows(2).position(|pair| pair == b"\n\n") {
                let event = buffer.split_to(end + 2);
                if let Some(result) = apply_event(&event, sent_at, &mut last_token_at, completion) {
                    return Ok(result);
                }
                if disconnect_after.is_some_and(|limit| completion.tokens.len() >= limit) {
                    return Ok(CallResult::Disconnected);
                }
            }
        }
        Ok(CallResult::Broken("the stream ended early".to_owned()))
    }

    /// Sends a call that must run at most once; returns its result and the response body.
    pub async fn call_once(
        &self,
        host: SocketAddr,
        organisation: &str,
        header: (&str, &str),
        body: &str,
        timeout: Duration,
    ) -> (CallResult, String) {
        let path = format!("/s/{}{}", self.service, self.once_path);
        let call = async {
            let request = request_builder(host, &path, organisation)
                .header(header.0, header.1)
                .body(Full::new(Bytes::from(body.to_owned())))
                .map_err(|error| Error::Protocol(error.to_string()))?;
            let mut sender = HttpPool::connect(host).await?;
            let response = sender.send_request(request).await?;
            let status = response.status().as_u16();
            let bytes = response.into_body().collect().await?.to_bytes();
            Ok::<_, Error>((status, bytes))
        };
        match tokio::time::timeout(timeout, call).await {
            Ok(Ok((200, bytes))) => {
                (CallResult::Complete, String::from_utf8_lossy(&bytes).into_owned())
            }
            Ok(Ok((_, bytes))) => {
                let text = String::from_utf8_lossy(&bytes).into_owned();
                (error_result(&bytes), text)
            }
            Ok(Err(error)) => (CallResult::Broken(error.to_string()), String::new()),
            Err(_) => (CallResult::Disconnected, String::new()),
        }
    }
}

fn request_builder(host: SocketAddr, path: &str, organisation: &str) -> http::request::Builder {
    http::Request::post(path)
        .header("host", host.to_string())
        .header("tealcleat-organisation", organisation)
        .header("tealcleat-class", "interactive")
}

fn apply_event(
    event: &[u8],
    sent_at: Instant,
    last_token_at: &mut Instant,
    completion: &mut Completion,
) -> Option<CallResult> {
    let text = String::from_utf8_lossy(event);
    if text.starts_with("event: error") {
        let data = text.split_once("data: ").map_or("", |(_, data)| data);
        return Some(record_error(data.trim().as_bytes(), completion));
    }
    let data = text.trim().strip_prefix("data: ")?;
    if data == "[DONE]" {
        return Some(CallResult::Complete);
    }
    let value: Value = serde_json::from_str(data).ok()?;
    let choice = &value["choices"][0];
    if choice["finish_reason"].is_null() {
        let now = Instant::now();
        match completion.first_token {
            None => completion.first_token = Some(now - sent_at),
            Some(_) => completion.token_gaps.push(now - *last_token_at),
        }
        *last_token_at = now;
        completion.tokens.push(choice["text"].as_str().unwrap_or("").to_owned());
    }
    None
}

fn record_error(bytes: &[u8], completion: &mut Completion) -> CallResult {
    let value: Value = serde_json::from_slice(bytes).unwrap_or(Value::Null);
    completion.reason = value["error"]["reason"].as_str().unwrap_or("").to_owned();
    error_result(bytes)
}

fn error_result(bytes: &[u8]) -> CallResult {
    let value: Value = serde_json::from_slice(bytes).unwrap_or(Value::Null);
    let reason = value["error"]["reason"].as_str().unwrap_or("");
    match value["error"]["outcome"].as_str() {
        Some("not_run") => CallResult::NotRun,
        Some("whole") => CallResult::AnsweredElsewhere,
        Some("unknown") if reason == "in_progress" => CallResult::AnsweredElsewhere,
        Some("unknown") => CallResult::Unknown,
        _ => CallResult::Broken("no final answer".to_owned()),
    }
}
