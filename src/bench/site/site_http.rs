use crate::Result;
use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::TcpListener;

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

/// A request that was read to its end.
pub(super) type WholeRequest = Request<Bytes>;

/// Answers the requests of a stand-in.
pub(super) trait SiteHandler: Send + Sync + 'static {
    fn answer(self: Arc<Self>, request: WholeRequest) -> impl Future<Output = SiteAnswer> + Send;
}

/// Serves a stand-in on a free port until the runtime ends.
pub(super) async fn serve_site<H: SiteHandler>(handler: Arc<H>) -> Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let handler = Arc::clone(&handler);
            tokio::spawn(async move {
                let service = service_fn(move |request| answer(Arc::clone(&handler), request));
                let connection = hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service);
                // A caller that leaves is part of every test.
                drop(connection.await);
            });
        }
    });
    Ok(address)
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
