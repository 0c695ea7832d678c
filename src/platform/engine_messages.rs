//! Encodes the router's own calls to model engines and decodes their answers.

use super::names;
use super::server_wire::decode_stage;
use crate::fleet::{ServerEntry, ServerStage};
use crate::{Error, Result};
use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderValue};
use http::{Method, Uri};
use http_body_util::Full;
use hyper::Request;
use serde::Deserialize;
use serde_json::json;
use std::time::Duration;

/// Result of a prefill that lies in a server's memory.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct PrefillResult {
    /// Its name at the server.
    #[serde(rename = "kv_handle")]
    pub handle: String,
}

/// A slot and memory that an engine holds for a request.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct HoldGrant {
    /// Its name at the engine.
    pub hold: String,
}

/// An engine's load, some hundred milliseconds old.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineReport {
    /// Unix millisecond at which this life of it began; engines of older platforms do not say.
    pub started_at: Option<u64>,
    /// Its stage.
    pub stage: Option<ServerStage>,
    /// It carries out an order.
    pub busy: bool,
    /// Orders that it has taken since its start.
    pub orders_taken: u64,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that run.
    pub running: u32,
    /// Tokens in memory that cannot give way.
    pub tokens_used: u32,
}

#[derive(Debug, Deserialize)]
struct WireReport {
    born: Option<u64>,
    /// Without this and the next two an answer is no report, but a late copy of another one.
    stage: String,
    busy: bool,
    seq: u64,
    #[serde(default)]
    waiting: u32,
    #[serde(default)]
    running: u32,
    #[serde(default)]
    kv_used: u32,
}

/// An order to change an engine's stage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StageOrder<'a> {
    /// The stage to change to.
    pub stage: ServerStage,
    /// Who orders.
    pub holder: &'a str,
    /// Rises with each holder of the lease.
    pub fence: u64,
    /// Orders that the engine must have taken before.
    pub orders_taken: u64,
}

/// Asks an engine for a slot and memory.
pub fn hold_call(server: &ServerEntry, tokens: u32, life: Duration) -> Request<Full<Bytes>> {
    let ttl = u64::try_from(life.as_millis()).unwrap_or(u64::MAX);
    post(server, names::HOLD_PATH, &json!({"tokens": tokens, "ttl_ms": ttl}))
}

/// Gives a hold back.
pub fn hold_drop_call(server: &ServerEntry, hold: &str) -> Request<Full<Bytes>> {
    delete(server, &format!("{}{hold}", names::HOLD_DROP_PATH))
}

/// Frees a prefill result.
pub fn handle_drop_call(server: &ServerEntry, handle: &str) -> Request<Full<Bytes>> {
    delete(server, &format!("{}{handle}", names::HANDLE_PATH))
}

/// Orders an engine to change its stage.
pub fn stage_call(server: &ServerEntry, order: &StageOrder<'_>) -> Request<Full<Bytes>> {
    let body = json!({
        "op": "stage",
        "stage": order.stage.name(),
        "holder": order.holder,
        "fence": order.fence,
        "expected_count": order.orders_taken,
    });
    post(server, names::ORDER_PATH, &body)
}

/// Asks an engine for its load.
pub fn report_call(server: &ServerEntry) -> Request<Full<Bytes>> {
    request(server, Method::GET, names::REPORT_PATH, Bytes::new())
}

/// Decodes an engine's load.
///
/// # Errors
/// If the body is no report.
pub fn decode_report(body: &[u8]) -> Result<EngineReport> {
    let wire: WireReport = serde_json::from_slice(body)?;
    Ok(EngineReport {
        started_at: wire.born,
        stage: decode_stage(&wire.stage),
        busy: wire.busy,
        orders_taken: wire.seq,
        waiting: wire.waiting,
        running: wire.running,
        tokens_used: wire.kv_used,
    })
}

/// Decodes a JSON body.
///
/// # Errors
/// If the body has another shape.
pub fn decode_body<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(Error::from)
}

fn post(server: &ServerEntry, path: &str, body: &serde_json::Value) -> Request<Full<Bytes>> {
    let mut request = request(server, Method::POST, path, Bytes::from(body.to_string()));
    request.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    request
}

fn delete(server: &ServerEntry, path: &str) -> Request<Full<Bytes>> {
    request(server, Method::DELETE, path, Bytes::new())
}

fn request(server: &ServerEntry, method: Method, path: &str, body: Bytes) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = method;
    *request.uri_mut() = Uri::try_from(path).unwrap_or_default();
    let headers = request.headers_mut();
    if let Ok(host) = HeaderValue::from_str(&server.address.to_string()) {
        headers.insert("host", host);
    }
    if let Ok(id) = HeaderValue::from_str(&server.id) {
        headers.insert(names::EXPECT_INSTANCE, id);
    }
    request
}
