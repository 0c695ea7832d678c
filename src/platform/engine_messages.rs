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

/// The result of a prefill, held in a server's memory.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct PrefillResult {
    /// Handle of the result at the server.
    #[serde(rename = "kv_handle")]
    pub handle: String,
}

/// A slot and memory that an engine holds for a request.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct HoldGrant {
    /// Id of the hold at the engine.
    pub hold: String,
}

/// An engine's load, a few hundred milliseconds old.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineReport {
    /// Unix time in milliseconds at which this incarnation of the engine started; missing on older platforms.
    pub started_at: Option<u64>,
    /// The engine's stage; `None` if the stage is unknown to the router.
    pub stage: Option<ServerStage>,
    /// Whether the engine is carrying out an order.
    pub busy: bool,
    /// Orders that the engine has accepted since its start.
    pub orders_taken: u64,
    /// Number of requests that wait.
    pub waiting: u32,
    /// Number of requests that run.
    pub running: u32,
    /// Tokens in memory that cannot be evicted.
    pub tokens_used: u32,
}

#[derive(Debug, Deserialize)]
struct WireReport {
    born: Option<u64>,
    /// This field and the next two are required: an answer without them is not a report, but a late copy of an answer
    /// to another call.
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
    /// The host that gives the order.
    pub holder: &'a str,
    /// Fencing token; it rises with each new holder of the lease.
    pub fence: u64,
    /// Orders that the engine must have accepted before this one.
    pub orders_taken: u64,
}

/// Builds the call that asks an engine to hold a slot and memory for at most `ttl`.
pub fn hold_call(server: &ServerEntry, tokens: u32, ttl: Duration) -> Request<Full<Bytes>> {
    let ttl = u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX);
    post(server, names::HOLD_PATH, &json!({"tokens": tokens, "ttl_ms": ttl}))
}

/// Builds the call that releases a hold.
pub fn hold_drop_call(server: &ServerEntry, hold: &str) -> Request<Full<Bytes>> {
    delete(server, &format!("{}{hold}", names::HOLD_DROP_PATH))
}

/// Builds the call that frees a prefill result.
pub fn handle_drop_call(server: &ServerEntry, handle: &str) -> Request<Full<Bytes>> {
    delete(server, &format!("{}{handle}", names::HANDLE_PATH))
}

/// Builds the call that orders an engine to change its stage.
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

/// Builds the call that asks an engine for its load.
pub fn report_call(server: &ServerEntry) -> Request<Full<Bytes>> {
    request(server, Method::GET, names::REPORT_PATH, Bytes::new())
}

/// Decodes an engine's load.
///
/// # Errors
/// If the body is not a report.
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
/// If the body does not have the fields of `T`.
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
