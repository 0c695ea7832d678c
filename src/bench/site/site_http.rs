use super::incarnation_switch::{IncarnationSwitch, RestartAddress, StandinIncarnation};
use crate::{Error, Result};
use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

const ANY_PORT: &str = "127.0.0.1:0";
const REBIND_DELAY: Duration = Duration::from_millis(20);

/// The stand-in drops the connection instead of completing a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ConnectionDropped;

impl std::fmt::Display for ConnectionDropped {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "the stand-in dropped the connection")
    }
}

impl std::error::Error for ConnectionDropped {}

/// A stand-in's response; an error drops the connection without one.
pub(super) type SiteAnswer = std::result::Result<Response<SiteBody>, ConnectionDropped>;
pub(super) type SiteBody = UnsyncBoxBody<Bytes, ConnectionDropped>;

/// A request whose body begins with this crashes every stand-in server that runs it.
const CRASH_PREFIX: &[u8] = b"crash";
/// A part of a prompt whose id begins with this crashes every stand-in engine that begins to write on it, unless it is the
/// last part.
const CRASH_PART: &str = "bad";
/// How long a server runs such a request before it crashes.
const CRASH_DELAY: Duration = Duration::from_millis(20);

/// Whether a request crashes the server that runs it.
pub(super) fn is_crash_request(request: &BufferedRequest) -> bool {
    request.body().starts_with(CRASH_PREFIX)
}

/// Whether the prompt of a request has a part that crashes the engine that begins to write on it.
pub(super) fn has_crash_part(request: &BufferedRequest) -> bool {
    let list = header(request, "x-prompt-prefix").unwrap_or_default();
    let shared = list.rsplit_once(',').map_or("", |(shared, _)| shared);
    shared.split(',').any(|part| part.trim().starts_with(CRASH_PART))
}

/// Runs a crash request: all connections of the server break, including that of the request.
pub(super) async fn crash_server(incarnations: &IncarnationSwitch, id: &str) -> SiteAnswer {
    tokio::time::sleep(CRASH_DELAY).await;
    incarnations.crash(id);
    Err(ConnectionDropped)
}

/// A request whose body has been read to its end.
pub(super) type BufferedRequest = Request<Bytes>;

/// Handles the requests to a stand-in.
pub(super) trait SiteHandler: Send + Sync + 'static {
    fn answer(self: Arc<Self>, request: BufferedRequest)
    -> impl Future<Output = SiteAnswer> + Send;

    /// The stand-in's incarnations, if it can be restarted.
    fn incarnations(&self) -> Option<&IncarnationSwitch> {
        None
    }
}

/// Serves a stand-in on a free port until the runtime ends or the stand-in moves to another port.
pub(super) async fn serve_site<H: SiteHandler>(handler: Arc<H>) -> Result<SocketAddr> {
    let listener = TcpListener::bind(ANY_PORT).await?;
    let address = listener.local_addr()?;
    if let Some(incarnations) = handler.incarnations() {
        incarnations.move_to(address);
    }
    accept_at(handler, listener, address);
    Ok(address)
}

fn accept_at<H: SiteHandler>(handler: Arc<H>, listener: TcpListener, address: SocketAddr) {
    tokio::spawn(async move {
        tokio::select! {
            () = accept_all(&listener, &handler) => {}
            () = moved(&*handler, address) => {}
        }
    });
}

/// Listens at the address of a crashed stand-in again. Retries, as another socket may use the port briefly.
pub(in crate::bench) async fn rebind_listener(address: SocketAddr) -> TcpListener {
    loop {
        if let Ok(listener) = TcpListener::bind(address).await {
            return listener;
        }
        tokio::time::sleep(REBIND_DELAY).await;
    }
}

/// Begins a new incarnation of a stand-in and returns its address.
pub(super) async fn restart_site<H: SiteHandler>(
    handler: &Arc<H>,
    started_at: u64,
    restart_address: RestartAddress,
) -> Result<SocketAddr> {
    let not_served = || Error::Refused("the stand-in has not been served".to_owned());
    let incarnations = handler.incarnations().ok_or_else(not_served)?;
    let incarnation = incarnations.current();
    let previous = incarnation.address.ok_or_else(not_served)?;
    let listener = match restart_address {
        RestartAddress::Same if !incarnation.is_down => {
            incarnations.begin(started_at);
            return Ok(previous);
        }
        RestartAddress::Same => rebind_listener(previous).await,
        RestartAddress::Other => TcpListener::bind(ANY_PORT).await?,
    };
    let address = listener.local_addr()?;
    incarnations.move_to(address);
    incarnations.begin(started_at);
    accept_at(Arc::clone(handler), listener, address);
    Ok(address)
}

async fn accept_all<H: SiteHandler>(listener: &TcpListener, handler: &Arc<H>) {
    while let Ok((stream, _)) = listener.accept().await {
        let incarnation = handler.incarnations().map(IncarnationSwitch::current);
        tokio::spawn(serve_stream(Arc::clone(handler), stream, incarnation));
    }
}

async fn serve_stream<H: SiteHandler>(
    handler: Arc<H>,
    stream: TcpStream,
    incarnation: Option<StandinIncarnation>,
) {
    let service_handler = Arc::clone(&handler);
    let service = service_fn(move |request| answer(Arc::clone(&service_handler), request));
    let connection =
        hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        // Errors are ignored: callers may disconnect in any test.
        ended = connection => drop(ended),
        () = ended(&*handler, incarnation) => {}
    }
}

/// Waits until an incarnation of a stand-in has ended; forever if the stand-in cannot be restarted.
async fn ended<H: SiteHandler>(handler: &H, incarnation: Option<StandinIncarnation>) {
    match (handler.incarnations(), incarnation) {
        (Some(incarnations), Some(incarnation)) => incarnations.ended(incarnation).await,
        _ => std::future::pending().await,
    }
}

/// Waits until a stand-in no longer listens at `address`; forever if the stand-in cannot be restarted.
async fn moved<H: SiteHandler>(handler: &H, address: SocketAddr) {
    match handler.incarnations() {
        Some(incarnations) => incarnations.moved_from(address).await,
        None => std::future::pending().await,
    }
}

async fn answer<H: SiteHandler>(handler: Arc<H>, request: Request<Incoming>) -> SiteAnswer {
    let (parts, body) = request.into_parts();
    let body = body.collect().await.map_err(|_error| ConnectionDropped)?.to_bytes();
    handler.answer(Request::from_parts(parts, body)).await
}

/// A response with a complete body.
pub(super) fn full_response(status: u16, body: impl Into<Bytes>) -> Response<SiteBody> {
    let full = Full::new(body.into()).map_err(|not_served| match not_served {}).boxed_unsync();
    let mut response = Response::new(full);
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or_default();
    response
}

/// Decodes the percent-encoded bytes of a query component; malformed escapes lose their percent sign.
pub(super) fn percent_decoded(text: &str) -> String {
    let mut parts = text.split('%');
    let mut bytes = parts.next().unwrap_or_default().as_bytes().to_vec();
    for part in parts {
        let digits = part.get(..2).and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match digits {
            Some(byte) => {
                bytes.push(byte);
                bytes.extend_from_slice(&part.as_bytes()[2..]);
            }
            None => bytes.extend_from_slice(part.as_bytes()),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// The value of a header, if it is text.
pub(super) fn header<'a>(request: &'a BufferedRequest, name: &str) -> Option<&'a str> {
    request.headers().get(name).and_then(|value| value.to_str().ok())
}

/// A 503 response that states that the request did not run.
pub(super) fn not_run_response(id: &str) -> hyper::Response<SiteBody> {
    let mut answer = full_response(503, "");
    answer.headers_mut().insert("x-not-run", http::HeaderValue::from_static("1"));
    signed(answer, id, None)
}

/// Adds the request's id to a response, and the server stamp if there is a signer.
pub(super) fn signed(
    mut answer: hyper::Response<SiteBody>,
    id: &str,
    signer: Option<&str>,
) -> hyper::Response<SiteBody> {
    let headers = answer.headers_mut();
    if let Ok(value) = http::HeaderValue::from_str(id) {
        headers.insert("x-request-id", value);
    }
    if let Some(value) = signer.and_then(|signer| http::HeaderValue::from_str(signer).ok()) {
        headers.insert("x-server-stamp", value);
    }
    answer
}
