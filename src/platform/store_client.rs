//! Calls the platform's store.

use super::answer_pace::AnswerPace;
use super::call_counts::{CallCounts, CallKind};
use super::list_pager::ListPager;
use super::names;
use super::store_call::{CallLimit, ListAge, WatchAnswer, WatchLimits, WriteOutcome};
use super::store_object::{ObjectList, StoreObject, UnreadableObject};
use super::store_wire::{ListPage, decode_events, decode_object, decode_page};
use crate::engines::{AnswerProof, HttpPool, SendLimits};
use crate::keys::HostClock;
use crate::{Error, Result};
use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderValue};
use http::{Method, StatusCode, Uri};
use http_body_util::Full;
use hyper::Request;
use hyper::body::Body;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// First pause before a page of a listing is asked for again; doubles with each try.
const PAGE_PAUSE: Duration = Duration::from_millis(40);
/// Tries of one page: 1.2 s in all, longer than a store's second of calls.
const PAGE_TRIES: u32 = 5;

/// Client of the platform's store.
#[derive(Debug, Clone)]
pub struct StoreClient {
    address: SocketAddr,
    clock: HostClock,
    calls: Arc<CallCounts>,
}

impl StoreClient {
    /// A client of the store at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, clock: HostClock::start(), calls: Arc::default() }
    }

    /// How often the store was called so far, by kind of call.
    pub fn calls(&self) -> impl Iterator<Item = (CallKind, u64)> {
        let calls = Arc::clone(&self.calls);
        CallKind::ALL.into_iter().map(move |kind| (kind, calls.count(kind)))
    }

    /// Lists all objects of a kind, page by page; each page begins within `limit`.
    ///
    /// # Errors
    /// If the store gave no proper answer in time.
    pub async fn list(&self, kind: &str, age: ListAge, limit: Duration) -> Result<ObjectList> {
        let mut walk = ListPager::new();
        // Pages share connections within one listing only: the copy of an older listing's page would pass.
        let pages = HttpPool::default();
        let stale = match age {
            ListAge::Newest => "",
            ListAge::Stale => "stale=1&",
        };
        loop {
            let target = format!("{kind}?{stale}after={}", walk.after());
            self.calls.record(CallKind::Page);
            let page = if walk.is_first() {
                let (status, body) = self.get(&target, limit).await?;
                check_status(status)?;
                decode_page(&body)?
            } else {
                self.further_page(&pages, &target, &walk, limit).await?
            };
            if !walk.add(page) {
                return Ok(walk.into_list());
            }
        }
    }

    /// Reads a page after the first one. A store that is at its rate refuses some: what was read is kept
    /// and the page asked for again, or hundreds of hosts that start together never get to the end.
    async fn further_page(
        &self,
        pages: &HttpPool,
        target: &str,
        walk: &ListPager,
        limit: Duration,
    ) -> Result<ListPage> {
        let mut pause = PAGE_PAUSE;
        let mut proof = AnswerProof::Contents(names::REQUEST_ID);
        for _ in 0..PAGE_TRIES {
            let is_shared = proof != AnswerProof::OwnConnection;
            let read = |status, body: &Bytes| read_page(status, body, walk, is_shared);
            let request = self.request(Method::GET, target, Bytes::new())?;
            match self.send(pages, request, proof, limit, read).await {
                Ok(Some(page)) => return Ok(page),
                Ok(None) => {
                    tokio::time::sleep(pause).await;
                    self.calls.record(CallKind::Page);
                    pause *= 2;
                }
                Err(Error::Protocol(cause)) if is_shared => {
                    log::info!("event=store_page_repeated cause=\"{cause}\"");
                    self.calls.record(CallKind::Page);
                    proof = AnswerProof::OwnConnection;
                }
                Err(error) => return Err(error),
            }
        }
        Err(Error::Refused("the store stayed busy in the middle of a listing".to_owned()))
    }

    /// Reads one object; `None` if there is none.
    ///
    /// # Errors
    /// If the store gave no proper answer in time.
    pub async fn read(
        &self,
        kind: &str,
        name: &str,
        limit: Duration,
    ) -> Result<Option<StoreObject>> {
        self.calls.record(CallKind::Read);
        let (status, body) = self.get(&format!("{kind}/{name}"), limit).await?;
        if status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        check_status(status)?;
        let object = decode_object(&body).map_err(|object| Error::Protocol(object.cause))?;
        Ok(Some(object))
    }

    /// Waits for changes of a kind after `revision`.
    ///
    /// # Errors
    /// If the store gave no proper answer in time.
    pub async fn watch(&self, kind: &str, revision: u64, plan: WatchLimits) -> Result<WatchAnswer> {
        let WatchLimits { wait, slack, max_bytes } = plan;
        let target = format!("{kind}?watch={revision}&wait_ms={}", wait.as_millis());
        let limit = CallLimit { time: wait + slack, bytes: max_bytes };
        self.calls.record(CallKind::Watch);
        let (status, body) = match self.get(&target, limit).await {
            Err(Error::TooLong { .. }) => return Ok(WatchAnswer::TooLong),
            answered => answered?,
        };
        if status == StatusCode::GONE {
            return Ok(WatchAnswer::HistoryLost);
        }
        check_status(status)?;
        let (events, revision) = decode_events(&body)?;
        Ok(WatchAnswer::Changes(events, revision))
    }

    /// Writes an object if its revision is still `expected`; `None` if it must not exist yet.
    pub async fn write(
        &self,
        kind: &str,
        name: &str,
        expected: Option<u64>,
        spec: &Value,
        limit: Duration,
    ) -> WriteOutcome {
        let metadata = match expected {
            Some(revision) => json!({"name": name, "revision": revision, "finalizers": []}),
            None => json!({"name": name, "finalizers": []}),
        };
        let body = json!({"metadata": metadata, "spec": spec}).to_string();
        let (method, target) = match expected {
            Some(_) => (Method::PUT, format!("{kind}/{name}")),
            None => (Method::POST, kind.to_owned()),
        };
        self.calls.record(CallKind::Write);
        match self.call_once(method, &target, Bytes::from(body), limit).await {
            Ok((status, body)) => read_write(status, &body),
            Err(Error::NotSent(_)) => WriteOutcome::Refused,
            Err(_) => WriteOutcome::Unknown,
        }
    }

    async fn get(&self, target: &str, limit: impl Into<CallLimit>) -> Result<(StatusCode, Bytes)> {
        self.call_once(Method::GET, target, Bytes::new(), limit).await
    }

    /// Calls the store on a connection of its own: its answers name neither call nor kind, and the copy of
    /// an earlier one would be believed, as a lease or claim that was not written.
    async fn call_once(
        &self,
        method: Method,
        target: &str,
        body: Bytes,
        limit: impl Into<CallLimit>,
    ) -> Result<(StatusCode, Bytes)> {
        let request = self.request(method, target, body)?;
        let (pool, proof) = (HttpPool::default(), AnswerProof::OwnConnection);
        let read = |status, body: &Bytes| Ok((status, body.clone()));
        self.send(&pool, request, proof, limit, read).await
    }

    fn request(&self, method: Method, target: &str, body: Bytes) -> Result<Request<Full<Bytes>>> {
        let uri = format!("{}{target}", names::OBJECTS_PATH);
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = method;
        *request.uri_mut() =
            Uri::try_from(uri).map_err(|error| Error::Protocol(error.to_string()))?;
        let headers = request.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Ok(host) = HeaderValue::from_str(&self.address.to_string()) {
            headers.insert("host", host);
        }
        Ok(request)
    }

    async fn send<T>(
        &self,
        pool: &HttpPool,
        request: Request<Full<Bytes>>,
        proof: AnswerProof,
        limit: impl Into<CallLimit>,
        read: impl FnOnce(StatusCode, &Bytes) -> Result<T>,
    ) -> Result<T> {
        let limit: CallLimit = limit.into();
        let target = request.uri().clone();
        let began = self.clock.now();
        let asked = usize::try_from(request.body().size_hint().lower()).unwrap_or_default();
        let pace = AnswerPace::new(began, asked, limit.time);
        let received = AtomicUsize::new(0);
        let exchange = async {
            let call = pool.send(self.address, request, proof, SendLimits::default());
            let answered = tokio::time::timeout(pace.first_byte_timeout(), call).await;
            let response = answered.map_err(|_elapsed| Error::Timeout)??;
            let status = response.status();
            let patience = |count| {
                received.store(count, Ordering::Relaxed);
                pace.next_chunk_timeout(self.clock.now(), count)
            };
            response
                .into_body()
                .read_with_timeouts(limit.bytes, patience, |body| read(status, body))
                .await
        };
        // Dropping the call closes its connection, so that a late answer meets nobody.
        exchange.await.inspect_err(|error| {
            let waited = self.clock.now().since(began).as_millis();
            log::info!(
                "event=store_call_given_up target={target} received={} waited_ms={waited} \
                 cause=\"{error}\"",
                received.load(Ordering::Relaxed)
            );
        })
    }
}

/// The store did nothing, but may the next moment.
fn is_busy(status: StatusCode) -> bool {
    matches!(status, StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE)
}

/// Reads a page after the first one; `None` if the store did nothing. These pages share a connection, since
/// a listing of 3,000 servers has 61 of them: the copy of an earlier one is known by its names.
fn read_page(
    status: StatusCode,
    body: &Bytes,
    walk: &ListPager,
    is_shared: bool,
) -> Result<Option<ListPage>> {
    if is_busy(status) {
        return Ok(None);
    }
    check_status(status)?;
    let page = decode_page(body)?;
    if is_shared && walk.repeats(&page) {
        return Err(Error::Protocol("a page that was read before".to_owned()));
    }
    Ok(Some(page))
}

fn check_status(status: StatusCode) -> Result<()> {
    if status.is_success() {
        return Ok(());
    }
    Err(Error::Refused(format!("the store answered {status}")))
}

fn read_write(status: StatusCode, body: &[u8]) -> WriteOutcome {
    match status {
        StatusCode::CONFLICT | StatusCode::NOT_FOUND => WriteOutcome::Conflict,
        status if is_busy(status) => WriteOutcome::Refused,
        status if status.is_success() => match decode_object(body) {
            Ok(object) => WriteOutcome::Written(object),
            Err(UnreadableObject { cause, .. }) => {
                log::warn!("event=store_answer_unreadable cause=\"{cause}\"");
                WriteOutcome::Unknown
            }
        },
        _ => WriteOutcome::Unknown,
    }
}
