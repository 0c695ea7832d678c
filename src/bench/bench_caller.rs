use super::Deployment;
use crate::engines::HttpPool;
use crate::{Error, Result};
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// What a caller got.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallResult {
    /// The whole answer.
    Complete,
    /// It was told that the request did not run.
    NotRun,
    /// It was told that the request may have run.
    Unknown,
    /// It was told that the answer went elsewhere, or that the first attempt still runs.
    AnsweredElsewhere,
    /// The connection broke without a final answer.
    Broken(String),
    /// It left by its own will.
    Disconnected,
}

/// A completion as the caller saw it.
#[derive(Debug, Clone)]
pub struct Completion {
    /// How it ended.
    pub result: CallResult,
    /// The router's name of the request, if a head came.
    pub request: Option<String>,
    /// The answer's tokens.
    pub tokens: Vec<String>,
    /// Time to the first token.
    pub first_token: Option<Duration>,
    /// Times between tokens.
    pub token_gaps: Vec<Duration>,
    /// HTTP status, if a head came.
    pub status: u16,
    /// Why it was refused.
    pub reason: String,
}

/// A caller of one deployment.
#[derive(Debug, Clone)]
pub struct BenchCaller {
    model: &'static str,
    service: &'static str,
    once_path: &'static str,
}

impl BenchCaller {
    /// A caller of `deployment`.
    pub fn new(deployment: &Deployment) -> Self {
        Self {
            model: deployment.model,
            service: deployment.service,
            once_path: deployment.once_path,
        }
    }

    /// Streams a completion; leaves after `patience`, or after `leave_after` tokens.
    pub async fn complete(
        &self,
        host: SocketAddr,
        organisation: &str,
        prompt: &str,
        patience: Duration,
        leave_after: Option<usize>,
    ) -> Completion {
        let mut seen = Completion {
            result: CallResult::Disconnected,
            request: None,
            tokens: Vec::new(),
            first_token: None,
            token_gaps: Vec::new(),
            status: 0,
            reason: String::new(),
        };
        let body =
            json!({"model": self.model, "prompt": prompt, "max_tokens": 160, "stream": true});
        let reading = self.read_stream(host, organisation, &body, &mut seen, leave_after);
        match tokio::time::timeout(patience, reading).await {
            Ok(Ok(result)) => seen.result = result,
            Ok(Err(error)) => seen.result = CallResult::Broken(error.to_string()),
            Err(_) => seen.result = CallResult::Disconnected,
        }
        seen
    }

    async fn read_stream(
        &self,
        host: SocketAddr,
        organisation: &str,
        body: &Value,
        seen: &mut Completion,
        leave_after: Option<usize>,
    ) -> Result<CallResult> {
        let request = builder(host, "/v1/completions", organisation)
            .body(Full::new(Bytes::from(body.to_string())))
            .map_err(|error| Error::Protocol(error.to_string()))?;
        let mut sender = HttpPool::connect(host).await?;
        let began = Instant::now();
        let response = sender.send_request(request).await?;
        seen.status = response.status().as_u16();
        let name = response.headers().get("tealcleat-request");
        seen.request = name.and_then(|value| value.to_str().ok()).map(str::to_owned);
        let mut body = response.into_body();
        if seen.status != 200 {
            let bytes = body.collect().await?.to_bytes();
            return Ok(final_answer(&bytes, seen));
        }
        let mut buffer = BytesMut::new();
        let mut last = began;
        while let Some(frame) = body.frame().await {
            if let Ok(data) = frame?.into_data() {
                buffer.extend_from_slice(&data);
            }
            while let Some(end) = buffer.windows(2).position(|pair| pair == b"\n\n") {
                let event = buffer.split_to(end + 2);
                if let Some(result) = take_event(&event, began, &mut last, seen) {
                    return Ok(result);
                }
                if leave_after.is_some_and(|limit| seen.tokens.len() >= limit) {
                    return Ok(CallResult::Disconnected);
                }
            }
        }
        Ok(CallResult::Broken("the stream ended early".to_owned()))
    }

    /// Sends a call that must run at most once.
    pub async fn call_once(
        &self,
        host: SocketAddr,
        organisation: &str,
        header: (&str, &str),
        body: &str,
        patience: Duration,
    ) -> (CallResult, String) {
        let path = format!("/s/{}{}", self.service, self.once_path);
        let exchange = async {
            let request = builder(host, &path, organisation)
                .header(header.0, header.1)
                .body(Full::new(Bytes::from(body.to_owned())))
                .map_err(|error| Error::Protocol(error.to_string()))?;
            let mut sender = HttpPool::connect(host).await?;
            let response = sender.send_request(request).await?;
            let status = response.status().as_u16();
            let bytes = response.into_body().collect().await?.to_bytes();
            Ok::<_, Error>((status, bytes))
        };
        match tokio::time::timeout(patience, exchange).await {
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

fn builder(host: SocketAddr, path: &str, organisation: &str) -> http::request::Builder {
    http::Request::post(path)
        .header("host", host.to_string())
        .header("tealcleat-organisation", organisation)
        .header("tealcleat-class", "interactive")
}

fn take_event(
    event: &[u8],
    began: Instant,
    last: &mut Instant,
    seen: &mut Completion,
) -> Option<CallResult> {
    let text = String::from_utf8_lossy(event);
    if text.starts_with("event: error") {
        let data = text.split_once("data: ").map_or("", |(_, data)| data);
        return Some(final_answer(data.trim().as_bytes(), seen));
    }
    let data = text.trim().strip_prefix("data: ")?;
    if data == "[DONE]" {
        return Some(CallResult::Complete);
    }
    let value: Value = serde_json::from_str(data).ok()?;
    let choice = &value["choices"][0];
    if choice["finish_reason"].is_null() {
        let now = Instant::now();
        match seen.first_token {
            None => seen.first_token = Some(now - began),
            Some(_) => seen.token_gaps.push(now - *last),
        }
        *last = now;
        seen.tokens.push(choice["text"].as_str().unwrap_or("").to_owned());
    }
    None
}

fn final_answer(bytes: &[u8], seen: &mut Completion) -> CallResult {
    let value: Value = serde_json::from_slice(bytes).unwrap_or(Value::Null);
    seen.reason = value["error"]["reason"].as_str().unwrap_or("").to_owned();
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
