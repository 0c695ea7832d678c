//! Decodes the heads of callers' requests and encodes the heads that backend servers get.

use super::names;
use crate::fleet::ServerEntry;
use crate::organisations::{KeyDigest, KeyHasher, Organisation};
use bytes::Bytes;
use http::header::{CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use http::{Method, StatusCode, Uri};
use http_body_util::Full;
use hyper::{Request, Response};
use std::net::SocketAddr;
use std::time::Duration;

/// Size of a generation, as its caller states it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct TokenCounts {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Most tokens of the answer.
    pub max_output: u32,
    /// The caller's estimate of the answer's tokens; right in the median only.
    pub output_hint: Option<u32>,
}

impl TokenCounts {
    /// The most tokens that the request may take, if it states its size.
    pub fn stated_size(&self) -> Option<u32> {
        let size = self.prompt.saturating_add(self.max_output);
        (size > 0).then_some(size)
    }
}

/// What the head of a caller's request says to the router.
#[derive(Debug, Clone)]
pub struct CallHead {
    /// Id of this attempt of the caller.
    pub request_id: String,
    /// Host name that the caller asked for.
    pub host: String,
    /// How long the caller will wait.
    pub deadline: Option<Duration>,
    /// Size of the generation; zero for other requests.
    pub tokens: TokenCounts,
    /// Number of the last event that the caller already has.
    pub last_event: Option<u64>,
    /// The caller's key.
    pub caller_key: Option<KeyDigest>,
}

/// Which part of a request a backend server is asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallPart<'a> {
    /// All of it.
    Whole,
    /// Only reading the prompt.
    Prefill,
    /// Making tokens.
    Decode(DecodePart<'a>),
}

/// What a decode server needs to know besides the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct DecodePart<'a> {
    /// Where the prompt was read, and the name of the result there.
    pub source: Option<(SocketAddr, &'a str)>,
    /// The hold to use up.
    pub hold: Option<&'a str>,
    /// Continue after this event.
    pub after_event: Option<u64>,
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
    /// Reads a head; fields that are missing or malformed are left out.
    pub fn read(headers: &HeaderMap, uri: &Uri, hasher: &KeyHasher) -> Self {
        let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
        let number = |name: &str| text(name).and_then(|value| value.trim().parse::<f64>().ok());
        let host = uri.host().or_else(|| text("host")).unwrap_or_default();
        Self {
            request_id: text(names::REQUEST_ID).unwrap_or_default().to_owned(),
            host: host.to_owned(),
            deadline: number(names::DEADLINE)
                .filter(|value| value.is_finite() && *value >= 0.0)
                .map(|value| Duration::from_secs_f64(value.min(MOST_MILLIS) / 1000.0)),
            tokens: read_tokens(text(names::TOKEN_COUNT), number(names::LENGTH_HINT)),
            last_event: text(names::LAST_EVENT).and_then(|value| value.trim().parse().ok()),
            caller_key: read_key(headers, hasher),
        }
    }
}

/// A caller's key. Of a request with several nobody can tell whose it is: it counts as one with none.
fn read_key(headers: &HeaderMap, hasher: &KeyHasher) -> Option<KeyDigest> {
    let mut values = headers.get_all(names::AUTHORIZATION).iter();
    let value = values.next()?.to_str().ok()?;
    let is_only = values.next().is_none();
    let key = value.strip_prefix(names::KEY_SCHEME).map(str::trim);
    key.filter(|key| is_only && !key.is_empty()).map(|key| hasher.digest(key))
}

/// A day; longer deadlines mean the same.
const MOST_MILLIS: f64 = 86_400_000.0;

fn read_tokens(counts: Option<&str>, hint: Option<f64>) -> TokenCounts {
    let (prompt, output) = counts.and_then(|text| text.split_once(',')).unwrap_or_default();
    TokenCounts {
        prompt: prompt.trim().parse().unwrap_or_default(),
        max_output: output.trim().parse().unwrap_or_default(),
        output_hint: hint.filter(|value| *value >= 0.0).map(|value| value as u32),
    }
}

impl ServerCall {
    /// Takes over a caller's request, without what concerns its connection or only the router may
    /// say.
    ///
    /// Servers are told the organisation that it runs for, whatever the caller said.
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
            set(&mut headers, names::TENANT, &organisation.name);
        }
        Self { method, uri: Uri::try_from(path).unwrap_or_default(), headers, body }
    }

    /// The request as `server` gets it, with `left` of the deadline.
    pub fn to_server(
        &self,
        server: &ServerEntry,
        left: Duration,
        part: CallPart<'_>,
    ) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        let headers = request.headers_mut();
        headers.clone_from(&self.headers);
        set(headers, names::DEADLINE, &left.as_millis().to_string());
        set(headers, names::EXPECT_INSTANCE, &server.id);
        if !self.body.is_empty() || self.method == Method::POST || self.method == Method::PUT {
            headers.insert(CONTENT_LENGTH, HeaderValue::from(self.body.len()));
        }
        match part {
            CallPart::Whole => {}
            CallPart::Prefill => set(headers, names::STAGE, "prefill"),
            CallPart::Decode(part) => set_decode(headers, part),
        }
        request
    }
}

fn set_decode(headers: &mut HeaderMap, part: DecodePart<'_>) {
    if let Some((address, handle)) = part.source {
        set(headers, names::KV_FROM, &format!("{address}/{handle}"));
    }
    if let Some(hold) = part.hold {
        set(headers, names::HOLD, hold);
    }
    if let Some(event) = part.after_event {
        set(headers, names::LAST_EVENT, &event.to_string());
    }
}

fn set(headers: &mut HeaderMap, name: &'static str, value: &str) {
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

/// Whether a header concerns more than one connection.
fn is_end_to_end(headers: &HeaderMap, name: &HeaderName) -> bool {
    if names::HOP_BY_HOP.contains(&name.as_str()) {
        return false;
    }
    let named = headers.get_all("connection").iter().filter_map(|value| value.to_str().ok());
    !named
        .flat_map(|list| list.split(','))
        .any(|item| item.trim().eq_ignore_ascii_case(name.as_str()))
}

/// How the head of a backend server's own answer to a request reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerKind {
    /// A signed success.
    Success,
    /// The server did not run the request.
    NotRun,
    /// The server ran the request and failed.
    Failed,
    /// A success without a signature, or of an encoded body.
    Improper,
}

/// Reads what a backend server's answer means that is known to belong to the request.
pub fn read_answer(response: &Response<impl Sized>) -> AnswerKind {
    let headers = response.headers();
    let status = response.status();
    if status == StatusCode::MISDIRECTED_REQUEST || headers.contains_key(names::NOT_RUN) {
        return AnswerKind::NotRun;
    }
    if status.is_success() {
        let encoded = headers.contains_key("content-encoding");
        let signed = headers.contains_key(names::STAMP);
        return if signed && !encoded { AnswerKind::Success } else { AnswerKind::Improper };
    }
    AnswerKind::Failed
}

/// Whether a whole answer of a backend server stands in the body of another one.
///
/// An answer without a length ends with its connection, and whatever else comes there counts to it: the late
/// second answer to an earlier request went to the caller of a later one in this way.
pub fn contains_answer(body: &[u8]) -> bool {
    let text = String::from_utf8_lossy(body).to_ascii_lowercase();
    text.match_indices(STATUS_LINE).any(|(place, _)| {
        let rest = &text[place..];
        let head = rest.split("\r\n\r\n").next().unwrap_or(rest);
        head.contains(names::REQUEST_ID)
    })
}

/// What the head of an answer begins with.
const STATUS_LINE: &str = "http/1.";

/// Headers of a backend server's answer that its caller gets.
pub fn answer_headers(headers: &HeaderMap) -> HeaderMap {
    headers
        .iter()
        .filter(|(name, _)| is_end_to_end(headers, name) && name.as_str() != names::NOT_RUN)
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

/// Headers of an answer that the router makes itself.
pub fn router_headers(request_id: &str, come_back: Option<Duration>) -> HeaderMap {
    let mut headers = HeaderMap::new();
    if !request_id.is_empty() {
        set(&mut headers, names::REQUEST_ID, request_id);
    }
    if let Some(pause) = come_back {
        let seconds = format!("{:.3}", pause.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(RETRY_AFTER, value);
        }
    }
    headers
}
