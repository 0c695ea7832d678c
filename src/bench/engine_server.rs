use super::decode_engine;
use super::engine_core::EngineCore;
use super::prefill_engine::prefill;
use crate::engines::{
    CALL_ID, CancelCall, CancelReply, DecodeCall, PrefillCall, ResumeCall, StreamEvent,
};
use crate::intents::ServerRole;
use crate::orders::ServerOrder;
use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, Incoming};
use hyper::header::HeaderValue;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use tokio::net::TcpListener;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

/// Announced keep-alive time. Engines close no idle connection; a minute is longer than their
/// callers leave one idle.
const KEEP_ALIVE: &str = "timeout=60";

type EngineResponse = Response<UnsyncBoxBody<Bytes, std::io::Error>>;

/// Serves one engine until the process ends.
pub(super) async fn serve_engine(listener: TcpListener, engine: Arc<EngineCore>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let engine = Arc::clone(&engine);
        tokio::spawn(async move {
            let service = service_fn(move |request| answer(Arc::clone(&engine), request));
            let connection = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service);
            let _ = connection.await;
        });
    }
}

/// Answers a call; the response repeats the call id and announces the keep-alive time.
async fn answer(
    engine: Arc<EngineCore>,
    request: Request<Incoming>,
) -> Result<EngineResponse, Infallible> {
    let id = request.headers().get(CALL_ID).cloned();
    let mut response = respond(engine, request).await;
    let headers = response.headers_mut();
    headers.insert("keep-alive", HeaderValue::from_static(KEEP_ALIVE));
    if let Some(id) = id {
        headers.insert(CALL_ID, id);
    }
    Ok(response)
}

async fn respond(engine: Arc<EngineCore>, request: Request<Incoming>) -> EngineResponse {
    let path = request.uri().path().to_owned();
    let query = request.uri().query().unwrap_or("").to_owned();
    engine.faults.wait_while_frozen().await;
    let Ok(body) = request.into_body().collect().await else {
        return error_response(StatusCode::BAD_REQUEST, "broken body");
    };
    let body = body.to_bytes();
    match path.as_str() {
        "/v1/load" => {
            let after = query.strip_prefix("after=").and_then(|text| text.parse().ok());
            json_response(&engine.report(after.unwrap_or(u64::MAX)))
        }
        "/v1/prefill" => with_call(&body, async |call| start_prefill(engine, call).await).await,
        "/v1/decode" => with_call(&body, async |call| start_decode(engine, call)).await,
        "/v1/resume" => with_call(&body, async |call| resume(engine, call)).await,
        "/v1/cancel" => {
            with_call(&body, async |call: CancelCall| {
                json_response(&CancelReply { held: engine.release(&call.attempt) })
            })
            .await
        }
        "/v1/orders" => {
            with_call(&body, async |order: ServerOrder| match engine.apply_order(order).await {
                Ok(()) => json_response(&CancelReply { held: false }),
                Err(text) => error_response(StatusCode::CONFLICT, &text),
            })
            .await
        }
        _ => error_response(StatusCode::NOT_FOUND, "no such call"),
    }
}

async fn with_call<T: DeserializeOwned>(
    body: &[u8],
    handle: impl AsyncFnOnce(T) -> EngineResponse,
) -> EngineResponse {
    match serde_json::from_slice(body) {
        Ok(call) => handle(call).await,
        Err(error) => error_response(StatusCode::BAD_REQUEST, &error.to_string()),
    }
}

async fn start_prefill(engine: Arc<EngineCore>, call: PrefillCall) -> EngineResponse {
    if engine.role() != ServerRole::Prefill || !engine.has_model(&call.model) {
        return error_response(StatusCode::CONFLICT, "not a prefill engine for this model");
    }
    // Runs in a separate task, because a caller's broken connection does not stop an engine.
    match tokio::spawn(prefill(engine, call)).await {
        Ok(Ok(done)) => json_response(&done),
        Ok(Err(reason)) => error_response(StatusCode::CONFLICT, &reason),
        Err(_) => error_response(StatusCode::INTERNAL_SERVER_ERROR, "lost"),
    }
}

fn start_decode(engine: Arc<EngineCore>, call: DecodeCall) -> EngineResponse {
    if engine.role() != ServerRole::Decode {
        return error_response(StatusCode::CONFLICT, "not a decode engine");
    }
    let (attempt, next_index) = (call.attempt.clone(), call.next_index);
    let held = decode_engine::start_attempt(&engine, call);
    let (sender, receiver) = unbounded_channel();
    tokio::spawn(decode_engine::send_events(engine, attempt, held, next_index, sender));
    Response::new(UnsyncBoxBody::new(EventBody { receiver, ended: false }))
}

fn resume(engine: Arc<EngineCore>, call: ResumeCall) -> EngineResponse {
    let Some(held) = engine.held(&call.attempt) else {
        return error_response(StatusCode::NOT_FOUND, "the attempt is not held");
    };
    let (sender, receiver) = unbounded_channel();
    tokio::spawn(decode_engine::send_events(engine, call.attempt, held, call.next_index, sender));
    Response::new(UnsyncBoxBody::new(EventBody { receiver, ended: false }))
}

fn json_response(value: &impl Serialize) -> EngineResponse {
    match serde_json::to_vec(value) {
        Ok(bytes) => full_response(bytes),
        Err(error) => error_response(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

fn error_response(status: StatusCode, text: &str) -> EngineResponse {
    let mut response = full_response(text.as_bytes().to_vec());
    *response.status_mut() = status;
    response
}

fn full_response(bytes: Vec<u8>) -> EngineResponse {
    let body = Full::new(Bytes::from(bytes)).map_err(|never| match never {});
    Response::new(UnsyncBoxBody::new(body))
}

/// Response body that writes events as JSON lines. If the stream ends before its last event, the
/// body fails and breaks the connection.
struct EventBody {
    receiver: UnboundedReceiver<StreamEvent>,
    ended: bool,
}

impl Body for EventBody {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<std::io::Result<Frame<Bytes>>>> {
        let event = ready!(self.receiver.poll_recv(cx));
        let Some(event) = event else {
            let was_cut = !std::mem::replace(&mut self.ended, true);
            let error = || Err(std::io::Error::other("the stream was cut"));
            return Poll::Ready(was_cut.then(error));
        };
        self.ended |= event.is_last();
        let line = serde_json::to_vec(&event).map_err(std::io::Error::from);
        Poll::Ready(Some(line.map(|mut line| {
            line.push(b'\n');
            Frame::data(Bytes::from(line))
        })))
    }
}
