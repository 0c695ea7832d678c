use crate::engines::HttpPool;
use crate::{Error, Result};
use bytes::{Bytes, BytesMut};
use http::{HeaderMap, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, timeout};

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
    /// When its head or the last part of its body arrived.
    pub last_at: Instant,
}

impl CallerReply {
    /// The value of a header, or an empty string.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }

    /// The software versions that the events in the body name, one for each event that names one.
    pub fn event_versions(&self) -> Vec<String> {
        let text = String::from_utf8_lossy(&self.body).into_owned();
        text.lines().filter_map(|line| Some(line.strip_prefix(": ")?.to_owned())).collect()
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
        self.call_within(call, Duration::MAX).await
    }

    /// Sends a request and reads the response until its end, or until nothing arrives for `gap`.
    ///
    /// # Errors
    /// If no response head arrived.
    pub async fn call_within(&mut self, call: &SiteCall, gap: Duration) -> Result<CallerReply> {
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
        let response = timeout(gap, self.sender.send_request(request)).await;
        let (parts, body) = response.map_err(|_elapsed| Error::Timeout)??.into_parts();
        let mut last_at = Instant::now();
        let (body, complete) = read_to_end(body, gap, &mut last_at).await;
        Ok(CallerReply { status: parts.status, headers: parts.headers, body, complete, last_at })
    }
}

async fn read_to_end(mut body: Incoming, gap: Duration, last_at: &mut Instant) -> (Bytes, bool) {
    let mut bytes = BytesMut::new();
    loop {
        match timeout(gap, body.frame()).await {
            Ok(None) => return (bytes.freeze(), true),
            Ok(Some(Err(_))) | Err(_) => return (bytes.freeze(), false),
            Ok(Some(Ok(frame))) => {
                *last_at = Instant::now();
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
