use super::engine_fault::EngineFault;
use super::site_http::{
    BrokenOff, SiteAnswer, SiteHandler, WholeRequest, header, refusal, serve_site, signed, whole,
};
use super::site_run::SiteRun;
use crate::Result;
use crate::host::lock;
use bytes::Bytes;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use serde_json::json;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// Lives of what an engine keeps for others, as on the users' sites.
const HOLD_LIFE: Duration = Duration::from_millis(2000);
const HANDLE_LIFE: Duration = Duration::from_millis(500);
/// Events before a cut have this long to leave.
const CUT_PAUSE: Duration = Duration::from_millis(20);

/// A stand-in for a model engine.
#[derive(Debug)]
pub struct SiteEngine {
    /// Id of this life of it.
    pub id: String,
    stage: Mutex<String>,
    events: u64,
    pause: Duration,
    fault: Mutex<EngineFault>,
    runs: Mutex<Vec<SiteRun>>,
    /// Holds and when they lapse.
    holds: Mutex<HashMap<String, Instant>>,
    /// Results of prefills: the request, and when they lapse.
    handles: Mutex<HashMap<String, (String, Instant)>>,
    orders: Mutex<Vec<(String, u64)>>,
    serials: AtomicU64,
    turned_away: AtomicU64,
    /// Prefill engines of the site, by address, from which results are fetched.
    sources: Mutex<HashMap<String, Arc<SiteEngine>>>,
}

impl SiteEngine {
    /// An engine whose answers have `events` events, one each `pause`.
    pub fn new(id: &str, stage: &str, events: u64, pause: Duration) -> Self {
        Self {
            id: id.to_owned(),
            stage: Mutex::new(stage.to_owned()),
            events,
            pause,
            fault: Mutex::default(),
            runs: Mutex::default(),
            holds: Mutex::default(),
            handles: Mutex::default(),
            orders: Mutex::default(),
            serials: AtomicU64::new(1),
            turned_away: AtomicU64::new(0),
            sources: Mutex::default(),
        }
    }

    /// Serves the engine on a free port.
    ///
    /// # Errors
    /// If no port can be bound.
    pub async fn serve(self: &Arc<Self>) -> Result<SocketAddr> {
        serve_site(Arc::clone(self)).await
    }

    /// Names an engine from which results can be fetched.
    pub fn add_source(&self, address: SocketAddr, engine: &Arc<Self>) {
        lock(&self.sources).insert(address.to_string(), Arc::clone(engine));
    }

    /// Switches a fault on, or all off.
    pub fn set_fault(&self, fault: EngineFault) {
        *lock(&self.fault) = fault;
    }

    /// Its part.
    pub fn stage(&self) -> String {
        lock(&self.stage).clone()
    }

    /// What it worked on, oldest first.
    pub fn runs(&self) -> Vec<SiteRun> {
        lock(&self.runs).clone()
    }

    /// Holds that were granted and neither used nor given back, and have not lapsed.
    pub fn open_holds(&self) -> usize {
        let now = Instant::now();
        lock(&self.holds).values().filter(|lapses| now < **lapses).count()
    }

    /// Results of prefills that were neither fetched nor given back, and have not lapsed.
    pub fn open_handles(&self) -> usize {
        let now = Instant::now();
        lock(&self.handles).values().filter(|(_, lapses)| now < *lapses).count()
    }

    /// Reads and runs that it turned away while it changed its stage.
    pub fn turned_away(&self) -> u64 {
        self.turned_away.load(Ordering::Relaxed)
    }

    /// Orders that it took: who gave them, under which fence.
    pub fn orders(&self) -> Vec<(String, u64)> {
        lock(&self.orders).clone()
    }

    fn fault(&self) -> EngineFault {
        *lock(&self.fault)
    }

    fn serial(&self) -> String {
        format!("{}-{}", self.id, self.serials.fetch_add(1, Ordering::Relaxed))
    }

    fn take_hold(&self) -> SiteAnswer {
        if self.fault() == EngineFault::Full {
            return Ok(whole(503, "{}"));
        }
        let hold = self.serial();
        lock(&self.holds).insert(hold.clone(), Instant::now() + HOLD_LIFE);
        Ok(whole(200, json!({"hold": hold}).to_string()))
    }

    fn order(&self, request: &WholeRequest) -> SiteAnswer {
        let order: serde_json::Value = serde_json::from_slice(request.body()).unwrap_or_default();
        let fence = order["fence"].as_u64().unwrap_or_default();
        let holder = order["holder"].as_str().unwrap_or_default().to_owned();
        if lock(&self.orders).iter().any(|(_, seen)| *seen > fence) {
            return Ok(whole(412, "{}"));
        }
        lock(&self.orders).push((holder, fence));
        if self.fault() == EngineFault::LoseOrders {
            return Err(BrokenOff);
        }
        if let Some(stage) = order["stage"].as_str() {
            *lock(&self.stage) = stage.to_owned();
        }
        Ok(whole(202, "{}"))
    }

    fn prefill(&self, request: &WholeRequest, id: &str) -> SiteAnswer {
        self.note_run(request, id, "prefill");
        if self.fault() == EngineFault::LoseReads {
            return Err(BrokenOff);
        }
        let handle = self.serial();
        let lapses = Instant::now() + HANDLE_LIFE;
        lock(&self.handles).insert(handle.clone(), (id.to_owned(), lapses));
        let body = json!({"kv_handle": handle, "tokens": 100, "version": 1}).to_string();
        Ok(signed(whole(200, body), id, None))
    }

    fn note_run(&self, request: &WholeRequest, id: &str, stage: &str) -> usize {
        let mut runs = lock(&self.runs);
        runs.push(SiteRun::of(request, id, stage));
        runs.len() - 1
    }

    /// Fetches the result of a prefill and tells whose prompt it is; `None` if it is gone. As on the
    /// users' platform, nobody checks whose result it should be.
    fn fetch(&self, source: &str) -> Option<String> {
        if self.fault() == EngineFault::LoseHandles {
            return None;
        }
        let (address, handle) = source.split_once('/')?;
        let engine = lock(&self.sources).get(address).cloned()?;
        let (request, lapses) = lock(&engine.handles).remove(handle)?;
        (Instant::now() < lapses).then_some(request)
    }

    fn decode(self: &Arc<Self>, request: &WholeRequest, id: &str) -> SiteAnswer {
        if let Some(hold) = header(request, "hold") {
            lock(&self.holds).remove(hold);
        }
        let prompt = match header(request, "kv-from") {
            None => id.to_owned(),
            Some(source) => match self.fetch(source) {
                Some(owner) => owner,
                None => return Ok(refusal(id)),
            },
        };
        let place = self.note_run(request, id, "decode");
        if self.fault() == EngineFault::FailRuns {
            return Ok(signed(whole(500, "failed"), id, Some(&self.id)));
        }
        let first = header(request, "last-event-id")
            .and_then(|text| text.parse().ok())
            .map_or(0, |n: u64| n + 1);
        let (events, received) = mpsc::channel(1);
        tokio::spawn(Arc::clone(self).make_events(prompt, first, place, events));
        let stream = StreamBody::new(EventFeed(received)).boxed_unsync();
        let answered = if self.fault() == EngineFault::ForeignAnswer { "another" } else { id };
        Ok(signed(hyper::Response::new(stream), answered, Some(&self.id)))
    }

    async fn make_events(
        self: Arc<Self>,
        prompt: String,
        first: u64,
        place: usize,
        events: mpsc::Sender<std::result::Result<Frame<Bytes>, BrokenOff>>,
    ) {
        for number in first..self.events {
            let text = format!("id: {number}\ndata: {prompt} {number}\n\n");
            let made = number - first;
            let sent = match self.fault() {
                EngineFault::CutAfter(most) if made >= most => {
                    let half = Bytes::copy_from_slice(&text.as_bytes()[..text.len() / 2]);
                    drop(events.send(Ok(Frame::data(half))).await);
                    // The HTTP library drops what it has not written when a body fails.
                    tokio::time::sleep(CUT_PAUSE).await;
                    drop(events.send(Err(BrokenOff)).await);
                    return;
                }
                EngineFault::StallAfter(most) if made >= most => {
                    events.closed().await;
                    lock(&self.runs)[place].cancelled = true;
                    return;
                }
                EngineFault::StrayAfter(most) if first == 0 && made == most => {
                    let stray = format!("HTTP/1.1 200 OK\r\ndata: stray\r\n\r\n{text}");
                    events.send(Ok(Frame::data(Bytes::from(stray)))).await
                }
                _ => events.send(Ok(Frame::data(Bytes::from(text)))).await,
            };
            if sent.is_err() {
                lock(&self.runs)[place].cancelled = true;
                return;
            }
            tokio::time::sleep(self.pause).await;
        }
    }
}

/// A stream of events from a channel.
struct EventFeed(mpsc::Receiver<std::result::Result<Frame<Bytes>, BrokenOff>>);

impl futures_core::Stream for EventFeed {
    type Item = std::result::Result<Frame<Bytes>, BrokenOff>;

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Self::Item>> {
        self.0.poll_recv(cx)
    }
}

impl SiteHandler for SiteEngine {
    async fn answer(self: Arc<Self>, request: WholeRequest) -> SiteAnswer {
        if self.fault() == EngineFault::Silent {
            std::future::pending::<()>().await;
        }
        if header(&request, "x-expect-instance").is_some_and(|id| id != self.id) {
            return Ok(whole(421, ""));
        }
        let path = request.uri().path().to_owned();
        if path == "/tealcleat/hold-take" {
            return self.take_hold();
        }
        if let Some(hold) = path.strip_prefix("/tealcleat/hold-drop/") {
            lock(&self.holds).remove(hold);
            return Ok(whole(200, "{}"));
        }
        if let Some(handle) = path.strip_prefix("/tealcleat/kv-handle/") {
            lock(&self.handles).remove(handle);
            return Ok(whole(200, "{}"));
        }
        if path == "/tealcleat/order" {
            return self.order(&request);
        }
        if path == "/tealcleat/report" {
            let running = lock(&self.holds).len();
            let orders = lock(&self.orders).len();
            let body = json!({"stage": self.stage(), "models": [], "busy": false, "seq": orders,
                "waiting": 0, "running": running, "kv_used": 0, "kv_total": 1000, "handles": 0});
            return Ok(whole(200, body.to_string()));
        }
        let Some(id) = header(&request, "x-request-id").map(str::to_owned) else {
            return Ok(whole(400, ""));
        };
        let asked =
            if header(&request, "x-stage") == Some("prefill") { "prefill" } else { "decode" };
        if asked != self.stage() {
            return Ok(signed(whole(421, ""), &id, None));
        }
        if self.fault() == EngineFault::Changing {
            self.turned_away.fetch_add(1, Ordering::Relaxed);
            return Ok(refusal(&id));
        }
        if asked == "prefill" { self.prefill(&request, &id) } else { self.decode(&request, &id) }
    }
}
