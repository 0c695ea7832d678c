use super::site_http::{
    BufferedRequest, ConnectionDropped, SiteAnswer, SiteHandler, full_response, percent_decoded,
    serve_site,
};
use super::store_objects::{StoreObjects, WriteOutcome};
use crate::Result;
use crate::host::lock;
use serde_json::Value;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::Notify;

/// Objects per page; as few as the users' stores return.
const PAGE_SIZE: usize = 3;
/// Longest accepted spec, as in the users' store.
const MAX_SPEC_BYTES: usize = 1 << 20;
const OBJECTS_PATH: &str = "/tealcleat/objects/";

/// A fault of the stand-in store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum StoreFault {
    /// No fault.
    #[default]
    None,
    /// Never responds.
    Silent,
    /// Responds 503.
    Busy,
    /// Responds 429 to new requests; pending watches continue.
    TooMany,
    /// Responds 429 to every other request for a page of a list, except for first pages.
    BusyBetweenPages,
    /// Applies writes but drops the connection instead of responding.
    LoseWrites,
}

/// A stand-in for the platform's store.
#[derive(Debug, Default)]
pub struct SiteStore {
    objects: Mutex<StoreObjects>,
    changed: Notify,
    /// The objects that stale lists return, if not the current ones.
    stale_objects: Mutex<Option<StoreObjects>>,
    fault: Mutex<StoreFault>,
    calls: AtomicU64,
    list_calls: AtomicU64,
    writes: AtomicU64,
}

impl SiteStore {
    /// Serves the store on a free port and returns its address.
    ///
    /// # Errors
    /// If no port can be bound.
    pub async fn serve(self: &Arc<Self>) -> Result<SocketAddr> {
        serve_site(Arc::clone(self)).await
    }

    /// Changes the objects as the operator or a server would, and wakes the watches.
    pub fn change(&self, change: impl FnOnce(&mut StoreObjects)) {
        change(&mut lock(&self.objects));
        self.changed.notify_waiters();
    }

    /// Makes stale lists return the objects as they are now, whatever changes later.
    pub fn freeze_stale_lists(&self) {
        *lock(&self.stale_objects) = Some(lock(&self.objects).clone());
    }

    /// Injects a fault, or ends the present one with [`StoreFault::None`].
    pub fn set_fault(&self, fault: StoreFault) {
        *lock(&self.fault) = fault;
        self.changed.notify_waiters();
    }

    /// Number of all calls so far, and of writes among them.
    pub fn call_counts(&self) -> (u64, u64) {
        (self.calls.load(Ordering::Relaxed), self.writes.load(Ordering::Relaxed))
    }

    /// Number of requests for a page of a list so far.
    pub fn list_calls(&self) -> u64 {
        self.list_calls.load(Ordering::Relaxed)
    }

    /// The spec of an object, if it is JSON.
    pub fn spec(&self, kind: &str, name: &str) -> Option<Value> {
        lock(&self.objects).spec(kind, name)
    }

    fn fault(&self) -> StoreFault {
        *lock(&self.fault)
    }

    async fn watch(&self, kind: &str, after: u64, wait: Duration) -> SiteAnswer {
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            match self.fault() {
                StoreFault::Silent => std::future::pending::<()>().await,
                StoreFault::Busy => return Ok(full_response(503, "{}")),
                StoreFault::None
                | StoreFault::TooMany
                | StoreFault::BusyBetweenPages
                | StoreFault::LoseWrites => {}
            }
            let answer = lock(&self.objects).changes(kind, after);
            let Some((body, has_events)) = answer else {
                return Ok(full_response(410, "{}"));
            };
            if has_events || tokio::time::Instant::now() >= deadline {
                return Ok(full_response(200, body));
            }
            // The loop checks again after a change and at the deadline.
            drop(tokio::time::timeout_at(deadline, changed).await);
        }
    }

    fn write(&self, method: &str, target: &str, body: &Value) -> SiteAnswer {
        self.writes.fetch_add(1, Ordering::Relaxed);
        let name = body["metadata"]["name"].as_str().unwrap_or_default().to_owned();
        let spec = body["spec"].clone();
        if spec.to_string().len() > MAX_SPEC_BYTES {
            return Ok(full_response(413, "{}"));
        }
        let outcome = {
            let mut objects = lock(&self.objects);
            if method == "POST" {
                objects.create(target, &name, spec)
            } else {
                let (kind, name) = target.split_once('/').unwrap_or((target, ""));
                let expected = body["metadata"]["revision"].as_u64().unwrap_or_default();
                objects.replace(kind, name, expected, spec)
            }
        };
        self.changed.notify_waiters();
        if self.fault() == StoreFault::LoseWrites {
            return Err(ConnectionDropped);
        }
        Ok(match outcome {
            WriteOutcome::Written(object) => full_response(200, object),
            WriteOutcome::Conflict(object) => full_response(409, object),
            WriteOutcome::Missing => full_response(404, "{}"),
        })
    }
}

impl SiteHandler for SiteStore {
    async fn answer(self: Arc<Self>, request: BufferedRequest) -> SiteAnswer {
        self.calls.fetch_add(1, Ordering::Relaxed);
        match self.fault() {
            StoreFault::Silent => std::future::pending::<()>().await,
            StoreFault::Busy => return Ok(full_response(503, "{}")),
            StoreFault::TooMany => return Ok(full_response(429, "{}")),
            StoreFault::None | StoreFault::BusyBetweenPages | StoreFault::LoseWrites => {}
        }
        let uri = request.uri().clone();
        let Some(target) = uri.path().strip_prefix(OBJECTS_PATH) else {
            return Ok(full_response(404, "{}"));
        };
        let method = request.method().as_str().to_owned();
        if method != "GET" {
            let body: Value = serde_json::from_slice(request.body()).unwrap_or_default();
            return self.write(&method, target, &body);
        }
        let query: HashMap<&str, &str> =
            uri.query().unwrap_or("").split('&').filter_map(|pair| pair.split_once('=')).collect();
        if let Some((kind, name)) = target.split_once('/') {
            let object = lock(&self.objects).get(kind, name);
            return Ok(object.map_or(full_response(404, "{}"), |object| full_response(200, object)));
        }
        if let Some(after) = query.get("watch") {
            let wait = query.get("wait_ms").and_then(|text| text.parse().ok()).unwrap_or(0);
            let after = after.parse().unwrap_or(0);
            return self.watch(target, after, Duration::from_millis(wait)).await;
        }
        let list_calls = self.list_calls.fetch_add(1, Ordering::Relaxed);
        let after = percent_decoded(query.get("after").copied().unwrap_or(""));
        let is_rejected =
            self.fault() == StoreFault::BusyBetweenPages && list_calls.is_multiple_of(2);
        if is_rejected && !after.is_empty() {
            return Ok(full_response(429, "{}"));
        }
        let snapshot = lock(&self.stale_objects).clone().filter(|_| query.contains_key("stale"));
        let page = match snapshot {
            Some(objects) => objects.page(target, &after, PAGE_SIZE),
            None => lock(&self.objects).page(target, &after, PAGE_SIZE),
        };
        Ok(full_response(200, page))
    }
}
