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

const ANYWHERE: &str = "127.0.0.1:0";
const LISTEN_PAUSE: Duration = Duration::from_millis(20);

/// What a stand-in does with a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct BrokenOff;

impl std::fmt::Display for BrokenOff {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "the stand-in broke off")
    }
}

impl std::error::Error for BrokenOff {}

/// A stand-in's answer; an error breaks the connection off without one.
pub(super) type SiteAnswer = std::result::Result<Response<SiteBody>, BrokenOff>;
pub(super) type SiteBody = UnsyncBoxBody<Bytes, BrokenOff>;

/// Contents that crash each stand-in server which begins to run them begin so.
const CRASHING: &[u8] = b"crash";
/// How long a server works on such a request before it crashes.
const CRASH_DELAY: Duration = Duration::from_millis(20);

/// Whether a request crashes the server that runs it.
pub(super) fn is_crashing(request: &WholeRequest) -> bool {
    request.body().starts_with(CRASHING)
}

/// Runs a crashing request: its connection and all others of the server break.
pub(super) async fn crash_server(lives: &IncarnationSwitch, id: &str) -> SiteAnswer {
    tokio::time::sleep(CRASH_DELAY).await;
    lives.crash(id);
    Err(BrokenOff)
}

/// A request that was read to its end.
pub(super) type WholeRequest = Request<Bytes>;

/// Answers the requests of a stand-in.
pub(super) trait SiteHandler: Send + Sync + 'static {
    fn answer(self: Arc<Self>, request: WholeRequest) -> impl Future<Output = SiteAnswer> + Send;

    /// Its lives, if it can be restarted.
    fn lives(&self) -> Option<&IncarnationSwitch> {
        None
    }
}

/// Serves a stand-in on a free port until the runtime ends, or it moves to another one.
pub(super) async fn serve_site<H: SiteHandler>(handler: Arc<H>) -> Result<SocketAddr> {
    let listener = TcpListener::bind(ANYWHERE).await?;
    let address = listener.local_addr()?;
    if let Some(lives) = handler.lives() {
        lives.move_to(address);
    }
    accept_at(handler, listener, address);
    Ok(address)
}

fn accept_at<H: SiteHandler>(handler: Arc<H>, listener: TcpListener, address: SocketAddr) {
    tokio::spawn(async move {
        tokio::select! {
            () = accept_all(&listener, &handler) => {}
            () = left(&*handler, address) => {}
        }
    });
}

/// Listens where a crashed stand-in did. Another socket may use the port for a moment.
pub(in crate::bench) async fn rebind_listener(address: SocketAddr) -> TcpListener {
    loop {
        if let Ok(listener) = TcpListener::bind(address).await {
            return listener;
        }
        tokio::time::sleep(LISTEN_PAUSE).await;
    }
}

/// Begins a new life of a stand-in, and returns where it listens.
pub(super) async fn restart_site<H: SiteHandler>(
    handler: &Arc<H>,
    born: u64,
    place: RestartAddress,
) -> Result<SocketAddr> {
    let never = || Error::Refused("the stand-in has not been served".to_owned());
    let lives = handler.lives().ok_or_else(never)?;
    let life = lives.current();
    let former = life.address.ok_or_else(never)?;
    let listener = match place {
        RestartAddress::Same if !life.is_down => {
            lives.begin(born);
            return Ok(former);
        }
        RestartAddress::Same => rebind_listener(former).await,
        RestartAddress::Other => TcpListener::bind(ANYWHERE).await?,
    };
    let address = listener.local_addr()?;
    lives.move_to(address);
    lives.begin(born);
    accept_at(Arc::clone(handler), listener, address);
    Ok(address)
}

async fn accept_all<H: SiteHandler>(listener: &TcpListener, handler: &Arc<H>) {
    while let Ok((stream, _)) = listener.accept().await {
        let life = handler.lives().map(IncarnationSwitch::current);
        tokio::spawn(serve_stream(Arc::clone(handler), stream, life));
    }
}

async fn serve_stream<H: SiteHandler>(
    handler: Arc<H>,
    stream: TcpStream,
    life: Option<StandinIncarnation>,
) {
    let answering = Arc::clone(&handler);
    let service = service_fn(move |request| answer(Arc::clone(&answering), request));
    let connection =
        hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        // A caller that leaves is part of every test.
        ended = connection => drop(ended),
        () = ended(&*handler, life) => {}
    }
}

/// Waits until a life of a stand-in is over.
async fn ended<H: SiteHandler>(handler: &H, life: Option<StandinIncarnation>) {
    match (handler.lives(), life) {
        (Some(lives), Some(life)) => lives.ended(life).await,
        _ => std::future::pending().await,
    }
}

/// Waits until a stand-in no longer listens at `address`.
async fn left<H: SiteHandler>(handler: &H, address: SocketAddr) {
    match handler.lives() {
        Some(lives) => lives.left(address).await,
        None => std::future::pending().await,
    }
}

async fn answer<H: SiteHandler>(handler: Arc<H>, request: Request<Incoming>) -> SiteAnswer {
    let (parts, body) = request.into_parts();
    let body = body.collect().await.map_err(|_error| BrokenOff)?.to_bytes();
    handler.answer(Request::from_parts(parts, body)).await
}

/// A whole answer.
pub(super) fn whole(status: u16, body: impl Into<Bytes>) -> Response<SiteBody> {
    let full = Full::new(body.into()).map_err(|never| match never {}).boxed_unsync();
    let mut response = Response::new(full);
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or_default();
    response
}

/// A part of a query with its percent-encoded bytes decoded.
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

/// A header's text.
pub(super) fn header<'a>(request: &'a WholeRequest, name: &str) -> Option<&'a str> {
    request.headers().get(name).and_then(|value| value.to_str().ok())
}

/// A refusal: the request did not run.
pub(super) fn refusal(id: &str) -> hyper::Response<SiteBody> {
    let mut answer = whole(503, "");
    answer.headers_mut().insert("x-not-run", http::HeaderValue::from_static("1"));
    signed(answer, id, None)
}

/// Puts the request's id, and a signature if the answer is whole, on an answer.
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
