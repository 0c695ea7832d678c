use crate::engines::HttpPool;
use crate::{Error, Result};
use bytes::{Bytes, BytesMut};
use http::{HeaderMap, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use std::net::SocketAddr;

/// A request of a stand-in caller.
#[derive(Debug, Clone)]
pub struct SiteCall {
    /// HTTP method.
    pub method: &'static str,
    /// Path.
    pub path: String,
    /// Request id.
    pub id: String,
    /// Additional headers.
    pub headers: Vec<(&'static str, String)>,
    /// Request body.
    pub body: &'static str,
}

/// The response that a stand-in caller received.
#[derive(Debug, Clone)]
pub struct CallerReply {
    /// HTTP status.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// The part of the body that arrived.
    pub body: Bytes,
    /// Whether the response was complete.
    pub complete: bool,
}

impl CallerReply {
    /// The value of a header, or an empty string.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }

    /// The numbers of the events in the body.
    pub fn events(&self) -> Vec<u64> {
        let text = String::from_utf8_lossy(&self.body).into_owned();
        text.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok()).collect()
    }
}

/// A caller's connection that can be reused for several requests.
#[derive(Debug)]
pub struct SiteConnection {
    sender: SendRequest<Full<Bytes>>,
}

impl SiteConnection {
    /// Opens a connection to a daemon.
    ///
    /// # Errors
    /// If the connection cannot be opened.
    pub async fn open(address: SocketAddr) -> Result<Self> {
        Ok(Self { sender: HttpPool::connect(address).await? })
    }

    /// Whether the connection is still open.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Sends a request and reads the response to its end.
    ///
    /// # Errors
    /// If no response head arrived.
    pub async fn call(&mut self, call: &SiteCall) -> Result<CallerReply> {
        let mut builder = Request::builder()
            .method(call.method)
            .uri(&call.path)
            .header("host", "books.example")
            .header("x-request-id", &call.id);
        for (name, value) in &call.headers {
            builder = builder.header(*name, value);
        }
        let body = Full::new(Bytes::from_static(call.body.as_bytes()));
        let request = builder.body(body).map_err(|error| Error::Protocol(error.to_string()))?;
        self.sender.ready().await?;
        let (parts, body) = self.sender.send_request(request).await?.into_parts();
        let (body, complete) = read_to_end(body).await;
        Ok(CallerReply { status: parts.status, headers: parts.headers, body, complete })
    }
}

async fn read_to_end(mut body: Incoming) -> (Bytes, bool) {
    let mut bytes = BytesMut::new();
    loop {
        match body.frame().await {
            None => return (bytes.freeze(), true),
            Some(Err(_)) => return (bytes.freeze(), false),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    bytes.extend_from_slice(&data);
                }
            }
        }
    }
}

/// Sends a request to a daemon on a new connection and reads the response to its end.
///
/// # Errors
/// If no response head arrived.
pub async fn call_site(address: SocketAddr, call: &SiteCall) -> Result<CallerReply> {
    SiteConnection::open(address).await?.call(call).await
}
