//! Client of the platform's store.

use super::answer_pace::AnswerPace;
use super::call_counts::{CallCounts, CallKind};
use super::list_pager::ListPager;
use super::names;
use super::store_call::{CallLimit, ListAge, WatchAnswer, WatchLimits, WriteOutcome};
use super::store_object::{ObjectList, StoreObject, UnreadableObject};
use super::store_wire::{ListPage, decode_events, decode_object, decode_page};
use crate::engines::{ALL_ANSWERS_BYTES, AnswerProof, HttpPool, SendLimits};
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

/// First backoff before a page of a listing is requested again; it doubles with each attempt.
const PAGE_BACKOFF: Duration = Duration::from_millis(40);
/// Attempts to read one page. The backoffs add up to 1.2 s, longer than the second of the store's rate limit.
const PAGE_ATTEMPTS: u32 = 5;

/// Reads, lists, watches and writes the store's objects.
#[derive(Debug, Clone)]
pub struct StoreClient {
    address: SocketAddr,
    clock: HostClock,
    calls: Arc<CallCounts>,
    /// Holds no connections, only the budget of the answers; servers' answers do not count against it.
    pool: HttpPool,
}

impl StoreClient {
    /// Creates a client of the store at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self::bounded(address, ALL_ANSWERS_BYTES)
    }

    /// Creates a client whose answers occupy at most `answer_bytes` together.
    pub fn bounded(address: SocketAddr, answer_bytes: usize) -> Self {
        let (clock, pool) = (HostClock::start(), HttpPool::bounded(answer_bytes));
        Self { address, clock, calls: Arc::default(), pool }
    }

    /// Returns the number of calls to the store so far, by kind of call.
    pub fn calls(&self) -> impl Iterator<Item = (CallKind, u64)> {
        let calls = Arc::clone(&self.calls);
        CallKind::ALL.into_iter().map(move |kind| (kind, calls.count(kind)))
    }

    /// Lists all objects of a kind, page by page. Each page must begin within `limit`.
    ///
    /// # Errors
    /// [`Error::TooLong`] if all pages together are longer than what the store's answers may occupy; any other error if the
    /// store sent no valid answer in time.
    pub async fn list(&self, kind: &str, age: ListAge, limit: Duration) -> Result<ObjectList> {
        let mut pager = ListPager::new();
        // Pages share connections only within one listing: a late page of an earlier one would go undetected.
        let pool = self.pool.emptied();
        let stale = match age {
            ListAge::Newest => "",
            ListAge::Stale => "stale=1&",
        };
        loop {
            let target = format!("{kind}?{stale}after={}", pager.after());
            self.calls.record(CallKind::Page);
            let page = if pager.is_first() {
                let (status, body) = self.get(&target, limit).await?;
                check_status(status)?;
                decode_page(&body)?
            } else {
                self.further_page(&pool, &target, &pager, limit).await?
            };
            let has_more = pager.add(page);
            if pager.bytes() > self.pool.answers().capacity() {
                return Err(Error::TooLong { received: pager.bytes() });
            }
            if !has_more {
                return Ok(pager.into_list());
            }
        }
    }

    /// Reads a page after the first one. A store at its rate limit refuses some pages. The pages read so far are kept
    /// and the refused page is requested again; otherwise hundreds of hosts that start together would never complete a
    /// listing.
    async fn further_page(
        &self,
        pool: &HttpPool,
        target: &str,
        pager: &ListPager,
        limit: Duration,
    ) -> Result<ListPage> {
        let mut backoff = PAGE_BACKOFF;
        let mut proof = AnswerProof::Contents(names::REQUEST_ID);
        for _ in 0..PAGE_ATTEMPTS {
            let is_shared = proof != AnswerProof::OwnConnection;
            let read = |status, body: &Bytes| read_page(status, body, pager, is_shared);
            let request = self.request(Method::GET, target, Bytes::new())?;
            match self.send(pool, request, proof, limit, read).await {
                Ok(Some(page)) => return Ok(page),
                Ok(None) => {
                    tokio::time::sleep(backoff).await;
                    self.calls.record(CallKind::Page);
                    backoff *= 2;
                }
                Err(Error::Protocol(cause)) if is_shared => {
                    log::info!("event=store_page_repeated cause=\"{cause}\"");
                    self.calls.record(CallKind::Page);
                    proof = AnswerProof::OwnConnection;
                }
                Err(error) => return Err(error),
            }
        }
        Err(Error::Refused("the store stayed busy during a listing".to_owned()))
    }

    /// Reads one object; `None` if it does not exist.
    ///
    /// # Errors
    /// If the store sent no valid answer in time.
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
        decode_object(&body).map(Some).map_err(|object| Error::Protocol(object.cause))
    }

    /// Waits for changes to objects of a kind after `revision`.
    ///
    /// # Errors
    /// If the store sent no valid answer in time.
    pub async fn watch(
        &self,
        kind: &str,
        revision: u64,
        limits: WatchLimits,
    ) -> Result<WatchAnswer> {
        let WatchLimits { wait, slack, max_bytes } = limits;
        let target = format!("{kind}?watch={revision}&wait_ms={}", wait.as_millis());
        let limit = CallLimit { time: wait + slack, bytes: max_bytes };
        self.calls.record(CallKind::Watch);
        let (status, body) = match self.get(&target, limit).await {
            Err(Error::TooLong { .. }) => return Ok(WatchAnswer::TooLong),
            answer => answer?,
        };
        if status == StatusCode::GONE {
            return Ok(WatchAnswer::HistoryLost);
        }
        check_status(status)?;
        let (events, revision) = decode_events(&body)?;
        Ok(WatchAnswer::Changes(events, revision))
    }

    /// Writes an object if its revision is still `expected`; `None` means that the object must not exist yet.
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

    /// Calls the store on a new connection. The store's answers identify neither their call nor their kind; on a shared
    /// connection, a late copy of an earlier answer would pass for a lease or claim that was never written.
    async fn call_once(
        &self,
        method: Method,
        target: &str,
        body: Bytes,
        limit: impl Into<CallLimit>,
    ) -> Result<(StatusCode, Bytes)> {
        let request = self.request(method, target, body)?;
        let (pool, proof) = (self.pool.emptied(), AnswerProof::OwnConnection);
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
        let sent_at = self.clock.now();
        let request_bytes = usize::try_from(request.body().size_hint().lower()).unwrap_or_default();
        let pace = AnswerPace::new(sent_at, request_bytes, limit.time);
        let received = AtomicUsize::new(0);
        let exchange = async {
            let call = pool.send(self.address, request, proof, SendLimits::default());
            let answer = tokio::time::timeout(pace.first_byte_timeout(), call).await;
            let response = answer.map_err(|_elapsed| Error::Timeout)??;
            let status = response.status();
            let timeout = |count| {
                received.store(count, Ordering::Relaxed);
                pace.next_chunk_timeout(self.clock.now(), count)
            };
            response.into_body().read_limited(limit.bytes, timeout, |body| read(status, body)).await
        };
        // Dropping the call closes its connection, so a late answer cannot reach another call.
        exchange.await.inspect_err(|error| {
            let waited = self.clock.now().since(sent_at).as_millis();
            log::info!(
                "event=store_call_given_up target={target} received={} waited_ms={waited} \
                 cause=\"{error}\"",
                received.load(Ordering::Relaxed)
            );
        })
    }
}

/// Whether the store refused the call for now: it did nothing, and a retry may succeed.
fn is_busy(status: StatusCode) -> bool {
    matches!(status, StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE)
}

/// Decodes a page after the first one; `None` if the store is busy. These pages share a connection, because a listing
/// of 3,000 servers has 61 of them; a copy of an earlier page is detected by its names.
fn read_page(
    status: StatusCode,
    body: &Bytes,
    pager: &ListPager,
    is_shared: bool,
) -> Result<Option<ListPage>> {
    if is_busy(status) {
        return Ok(None);
    }
    check_status(status)?;
    let page = decode_page(body)?;
    if is_shared && pager.repeats(&page) {
        return Err(Error::Protocol("the page was already read".to_owned()));
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
