use super::site_http::{
    BrokenOff, SiteAnswer, SiteHandler, WholeRequest, percent_decoded, serve_site, whole,
};
use super::store_objects::{PutEnd, StoreObjects};
use crate::Result;
use crate::host::lock;
use serde_json::Value;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::Notify;

/// Objects on a page, as few as the users' stores give.
const PAGE: usize = 3;
/// As the users' store.
const LONGEST_SPEC: usize = 1 << 20;
const OBJECTS: &str = "/tealcleat/objects/";

/// What the stand-in store does wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum StoreFault {
    /// Nothing.
    #[default]
    None,
    /// It answers nothing.
    Silent,
    /// It answers 503.
    Busy,
    /// It answers 429.
    TooMany,
    /// It refuses each page of a listing after the first one, every other time.
    BusyBetweenPages,
    /// It does writes but breaks off instead of answering.
    LoseWrites,
}

/// A stand-in for the platform's store.
#[derive(Debug, Default)]
pub struct SiteStore {
    objects: Mutex<StoreObjects>,
    changed: Notify,
    /// What stale listings show, if that is not the present.
    stale: Mutex<Option<StoreObjects>>,
    fault: Mutex<StoreFault>,
    calls: AtomicU64,
    lists: AtomicU64,
    writes: AtomicU64,
}

impl SiteStore {
    /// Serves the store on a free port.
    ///
    /// # Errors
    /// If no port can be bound.
    pub async fn serve(self: &Arc<Self>) -> Result<SocketAddr> {
        serve_site(Arc::clone(self)).await
    }

    /// Changes the objects as the operator or a server would.
    pub fn change(&self, change: impl FnOnce(&mut StoreObjects)) {
        change(&mut lock(&self.objects));
        self.changed.notify_waiters();
    }

    /// Stale listings show the objects as they are now from here on.
    pub fn freeze_stale_lists(&self) {
        *lock(&self.stale) = Some(lock(&self.objects).clone());
    }

    /// Switches a fault on, or all off.
    pub fn set_fault(&self, fault: StoreFault) {
        *lock(&self.fault) = fault;
        self.changed.notify_waiters();
    }

    /// Calls so far, and how many of them were writes.
    pub fn call_counts(&self) -> (u64, u64) {
        (self.calls.load(Ordering::Relaxed), self.writes.load(Ordering::Relaxed))
    }

    /// Pages of listings so far.
    pub fn list_calls(&self) -> u64 {
        self.lists.load(Ordering::Relaxed)
    }

    /// The contents of an object.
    pub fn spec(&self, kind: &str, name: &str) -> Option<Value> {
        lock(&self.objects).spec(kind, name)
    }

    fn fault(&self) -> StoreFault {
        *lock(&self.fault)
    }

    async fn watch(&self, kind: &str, after: u64, wait: Duration) -> SiteAnswer {
        let until = tokio::time::Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            match self.fault() {
                StoreFault::Silent => std::future::pending::<()>().await,
                StoreFault::Busy => return Ok(whole(503, "{}")),
                StoreFault::None
                | StoreFault::TooMany
                | StoreFault::BusyBetweenPages
                | StoreFault::LoseWrites => {}
            }
            let answer = lock(&self.objects).changes(kind, after);
            let Some((body, tells)) = answer else {
                return Ok(whole(410, "{}"));
            };
            if tells || tokio::time::Instant::now() >= until {
                return Ok(whole(200, body));
            }
            // Whichever comes first, the loop looks again.
            drop(tokio::time::timeout_at(until, changed).await);
        }
    }

    fn write(&self, method: &str, target: &str, body: &Value) -> SiteAnswer {
        self.writes.fetch_add(1, Ordering::Relaxed);
        let name = body["metadata"]["name"].as_str().unwrap_or_default().to_owned();
        let spec = body["spec"].clone();
        if spec.to_string().len() > LONGEST_SPEC {
            return Ok(whole(413, "{}"));
        }
        let end = {
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
            return Err(BrokenOff);
        }
        Ok(match end {
            PutEnd::Written(object) => whole(200, object),
            PutEnd::Conflict(object) => whole(409, object),
            PutEnd::Missing => whole(404, "{}"),
        })
    }
}

impl SiteHandler for SiteStore {
    async fn answer(self: Arc<Self>, request: WholeRequest) -> SiteAnswer {
        self.calls.fetch_add(1, Ordering::Relaxed);
        match self.fault() {
            StoreFault::Silent => std::future::pending::<()>().await,
            StoreFault::Busy => return Ok(whole(503, "{}")),
            StoreFault::TooMany => return Ok(whole(429, "{}")),
            StoreFault::None | StoreFault::BusyBetweenPages | StoreFault::LoseWrites => {}
        }
        let uri = request.uri().clone();
        let Some(target) = uri.path().strip_prefix(OBJECTS) else {
            return Ok(whole(404, "{}"));
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
            return Ok(object.map_or(whole(404, "{}"), |object| whole(200, object)));
        }
        if let Some(after) = query.get("watch") {
            let wait = query.get("wait_ms").and_then(|text| text.parse().ok()).unwrap_or(0);
            let after = after.parse().unwrap_or(0);
            return self.watch(target, after, Duration::from_millis(wait)).await;
        }
        let lists = self.lists.fetch_add(1, Ordering::Relaxed);
        let after = percent_decoded(query.get("after").copied().unwrap_or(""));
        let refuses = self.fault() == StoreFault::BusyBetweenPages && lists.is_multiple_of(2);
        if refuses && !after.is_empty() {
            return Ok(whole(429, "{}"));
        }
        let held = lock(&self.stale).clone().filter(|_| query.contains_key("stale"));
        let page = match held {
            Some(objects) => objects.page(target, &after, PAGE),
            None => lock(&self.objects).page(target, &after, PAGE),
        };
        Ok(whole(200, page))
    }
}
