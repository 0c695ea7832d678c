//! Decodes the heads of callers' requests and encodes the heads of requests to backend servers.

use super::names;
use crate::fleet::ServerEntry;
use crate::keys::PartKey;
use crate::organisations::{KeyDigest, KeyHasher, Organisation};
use bytes::Bytes;
use http::header::{CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue};
use http::{Method, Uri};
use http_body_util::Full;
use hyper::Request;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Size of a generation, as stated by its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct TokenCounts {
    /// Number of prompt tokens.
    pub prompt: u32,
    /// Maximum number of answer tokens.
    pub max_output: u32,
    /// The caller's estimate of the number of answer tokens; accurate only in the median.
    pub output_hint: Option<u32>,
}

impl TokenCounts {
    /// Returns the maximum number of tokens that the request occupies, if it states its size.
    pub fn stated_size(&self) -> Option<u32> {
        let size = self.prompt.saturating_add(self.max_output);
        (size > 0).then_some(size)
    }
}

/// The parts of a request's head that the router reads.
#[derive(Debug, Clone)]
pub struct CallHead {
    /// Request id of this attempt by the caller.
    pub request_id: String,
    /// Host name in the request.
    pub host: String,
    /// How long the caller waits for the answer.
    pub deadline: Option<Duration>,
    /// Size of the generation; zero for other requests.
    pub tokens: TokenCounts,
    /// The parts of its prompt that other requests may share: all but the last one, in order.
    pub shared_parts: Arc<[PartKey]>,
    /// Number of the last event that the caller has received.
    pub last_event: Option<u64>,
    /// Id of the caller's attempt that received the first event of the stream that this request continues.
    pub first_attempt: Option<String>,
    /// Whether the request continues a stream, even if its headers do not tell properly which one.
    pub is_resumption: bool,
    /// The caller's key.
    pub caller_key: Option<KeyDigest>,
}

/// Which part of a request a backend server is asked to run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallPart<'a> {
    /// The whole request.
    Whole,
    /// Only the prefill.
    Prefill,
    /// Only the decode.
    Decode(DecodePart<'a>),
}

/// What a decode server needs in addition to the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct DecodePart<'a> {
    /// Address of the prefill server, and the handle of the prefill result there.
    pub source: Option<(SocketAddr, &'a str)>,
    /// The hold that the request uses.
    pub hold: Option<&'a str>,
    /// Number of the event after which the stream continues.
    pub after_event: Option<u64>,
    /// The priority of the request's route, if the server is to be told; zero is the most urgent.
    pub priority: Option<u8>,
}

/// A caller's request, ready to be sent to any backend server.
#[derive(Debug, Clone)]
pub struct ServerCall {
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
}

impl CallHead {
    /// The id by which the service of a route that is split over several is chosen: the one that chose it for the first
    /// event of a stream.
    pub fn stream_id(&self) -> &str {
        self.first_attempt.as_deref().unwrap_or(&self.request_id)
    }

    /// Reads a head. Missing and malformed fields are treated as absent.
    pub fn read(headers: &HeaderMap, uri: &Uri, hasher: &KeyHasher) -> Self {
        let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
        let number = |name: &str| text(name).and_then(|value| value.trim().parse::<f64>().ok());
        let host = uri.host().or_else(|| text("host")).unwrap_or_default();
        Self {
            request_id: text(names::REQUEST_ID).unwrap_or_default().to_owned(),
            host: host.to_owned(),
            deadline: number(names::DEADLINE)
                .filter(|value| value.is_finite() && *value >= 0.0)
                .map(|value| Duration::from_secs_f64(value.min(MAX_DEADLINE_MS) / 1000.0)),
            tokens: read_tokens(text(names::TOKEN_COUNT), number(names::LENGTH_HINT)),
            shared_parts: read_shared_parts(headers),
            last_event: text(names::LAST_EVENT).and_then(|value| value.trim().parse().ok()),
            first_attempt: read_first_attempt(headers),
            is_resumption: headers.contains_key(names::LAST_EVENT)
                || headers.contains_key(names::RESUMES),
            caller_key: read_key(headers, hasher),
        }
    }
}

/// Reads the parts of the prompt, but for the last one, which belongs to the request itself or to its session. Ids that
/// differ only in the case of their digits name the same part; an element without an id is skipped.
fn read_shared_parts(headers: &HeaderMap) -> Arc<[PartKey]> {
    let lists = headers.get_all(names::PROMPT_PARTS).iter().filter_map(|list| list.to_str().ok());
    let ids = lists.flat_map(|list| list.split(',')).map(|part| {
        let id = part.split_once(':').map_or(part, |(id, _)| id);
        id.trim().to_ascii_lowercase()
    });
    let mut parts: Vec<PartKey> =
        ids.filter(|id| !id.is_empty()).map(|id| PartKey::of(&id)).collect();
    parts.pop();
    parts.into()
}

/// Reads the attempt that began the stream to continue. Several values name several streams, and so none.
fn read_first_attempt(headers: &HeaderMap) -> Option<String> {
    let mut values = headers.get_all(names::RESUMES).iter();
    let value = values.next()?.to_str().ok()?.trim();
    let is_only = values.next().is_none();
    (is_only && !value.is_empty()).then(|| value.to_owned())
}

/// Reads and hashes the caller's key. A request with several keys cannot be attributed to an organisation, so it counts
/// as a request without a key.
fn read_key(headers: &HeaderMap, hasher: &KeyHasher) -> Option<KeyDigest> {
    let mut values = headers.get_all(names::AUTHORIZATION).iter();
    let value = values.next()?.to_str().ok()?;
    let is_only = values.next().is_none();
    let key = value.strip_prefix(names::KEY_SCHEME).map(str::trim);
    key.filter(|key| is_only && !key.is_empty()).map(|key| hasher.digest(key))
}

/// One day; longer deadlines are capped at this value.
const MAX_DEADLINE_MS: f64 = 86_400_000.0;

fn read_tokens(counts: Option<&str>, hint: Option<f64>) -> TokenCounts {
    let (prompt, output) = counts.and_then(|text| text.split_once(',')).unwrap_or_default();
    TokenCounts {
        prompt: prompt.trim().parse().unwrap_or_default(),
        max_output: output.trim().parse().unwrap_or_default(),
        output_hint: hint.filter(|value| *value >= 0.0).map(|value| value as u32),
    }
}

impl ServerCall {
    /// Creates a call from a caller's request. Hop-by-hop headers and headers reserved for the router are dropped.
    ///
    /// The router names the organisation that the request runs for, whatever the caller's own headers say.
    pub fn new(
        method: Method,
        uri: &Uri,
        headers: &HeaderMap,
        organisation: Option<&Organisation>,
        body: Bytes,
    ) -> Self {
        let path = uri.path_and_query().map_or("/", |path| path.as_str());
        let mut headers: HeaderMap = headers
            .iter()
            .filter(|(name, _)| is_end_to_end(headers, name) && !is_router_only(name))
            .map(|(name, value)| (name.clone(), value.clone()))
            .collect();
        if let Some(organisation) = organisation {
            set_header(&mut headers, names::TENANT, &organisation.name);
        }
        Self { method, uri: Uri::try_from(path).unwrap_or_default(), headers, body }
    }

    /// Builds the request for `server`, with `remaining` time until the deadline.
    pub fn to_server(
        &self,
        server: &ServerEntry,
        remaining: Duration,
        part: CallPart<'_>,
    ) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        let headers = request.headers_mut();
        headers.clone_from(&self.headers);
        set_header(headers, names::DEADLINE, &remaining.as_millis().to_string());
        set_header(headers, names::EXPECT_INSTANCE, &server.id);
        if !self.body.is_empty() || self.method == Method::POST || self.method == Method::PUT {
            headers.insert(CONTENT_LENGTH, HeaderValue::from(self.body.len()));
        }
        match part {
            CallPart::Whole => {}
            CallPart::Prefill => set_header(headers, names::STAGE, "prefill"),
            CallPart::Decode(part) => set_decode_headers(headers, part),
        }
        request
    }
}

/// The largest value of the header `Priority`; less urgent routes are told as this one.
const MAX_PRIORITY: u8 = 9;

fn set_decode_headers(headers: &mut HeaderMap, part: DecodePart<'_>) {
    if let Some((address, handle)) = part.source {
        set_header(headers, names::KV_FROM, &format!("{address}/{handle}"));
    }
    if let Some(hold) = part.hold {
        set_header(headers, names::HOLD, hold);
    }
    if let Some(event) = part.after_event {
        set_header(headers, names::LAST_EVENT, &event.to_string());
    }
    if let Some(priority) = part.priority {
        set_header(headers, names::PRIORITY, &priority.min(MAX_PRIORITY).to_string());
    }
}

pub(super) fn set_header(headers: &mut HeaderMap, name: &'static str, value: &str) {
    match HeaderValue::from_str(value) {
        Ok(value) => {
            headers.insert(HeaderName::from_static(name), value);
        }
        Err(error) => log::warn!("event=header_unusable name={name} cause=\"{error}\""),
    }
}

fn is_router_only(name: &HeaderName) -> bool {
    names::ROUTER_ONLY.contains(&name.as_str())
}

/// Whether a header is end-to-end: not a standard hop-by-hop header, and not listed in the `Connection` header.
pub(super) fn is_end_to_end(headers: &HeaderMap, name: &HeaderName) -> bool {
    if names::HOP_BY_HOP.contains(&name.as_str()) {
        return false;
    }
    let listed = headers.get_all("connection").iter().filter_map(|value| value.to_str().ok());
    !listed
        .flat_map(|list| list.split(','))
        .any(|item| item.trim().eq_ignore_ascii_case(name.as_str()))
}
