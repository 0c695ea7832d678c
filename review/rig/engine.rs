//! Model workers with two stages, as PROTOCOL.md describes them. They do not check fences (`require_fence` is false).

use crate::store::Store;
use crate::util::{serve, since, Json, Message, Wire};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Prompt tokens that a worker reads in a millisecond.
const READ_TOKENS_PER_MS: u64 = 33;
/// Time of one token of an answer.
const TOKEN_TIME: Duration = Duration::from_millis(6);
/// Tokens in one event.
const STRIDE: u64 = 12;
const KV_TOKENS: u64 = 41_191;
/// Time in which a worker changes its stage.
const SWITCH_TIME: Duration = Duration::from_secs(6);
/// An order that is left unanswered is carried out this long after its arrival.
const LATE_TIME: Duration = Duration::from_secs(12);

/// An order that reached a worker.
#[derive(Debug, Clone)]
pub struct Order {
    pub at_ms: u64,
    pub worker: String,
    pub holder: String,
    pub fence: u64,
    pub outcome: String,
}

/// What all workers of a deployment share.
pub struct Floor {
    pub begun: Instant,
    store: Arc<Store>,
    pub orders: Mutex<Vec<Order>>,
    /// Whether the next order is left unanswered and carried out late.
    pub applies_late: AtomicBool,
    /// Results of prefills that were not taken yet: address and handle.
    handles: Mutex<HashSet<(SocketAddr, String)>>,
    names: AtomicU64,
}

impl Floor {
    pub fn new(begun: Instant, store: Arc<Store>) -> Arc<Self> {
        Arc::new(Self {
            begun,
            store,
            orders: Mutex::default(),
            applies_late: AtomicBool::new(false),
            handles: Mutex::default(),
            names: AtomicU64::new(0),
        })
    }

    fn name(&self) -> String {
        let number = self.names.fetch_add(1, Ordering::Relaxed) + 1;
        format!("{:012x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 16)
    }
}

struct Part {
    stage: String,
    seq: u64,
    busy: bool,
    running: u64,
    used: u64,
}

pub struct Engine {
    id: String,
    service: String,
    zone: String,
    address: SocketAddr,
    floor: Arc<Floor>,
    part: Mutex<Part>,
}

impl Engine {
    pub fn start(floor: &Arc<Floor>, id: &str, service: &str, zone: &str, stage: &str) {
        let slot: Arc<Mutex<Option<Arc<Engine>>>> = Arc::default();
        let serving = Arc::clone(&slot);
        let address = serve(move |wire| {
            let engine = serving.lock().unwrap().clone();
            if let Some(engine) = engine {
                engine.connection(wire);
            }
        });
        let part = Part { stage: stage.to_owned(), seq: 0, busy: false, running: 0, used: 0 };
        let engine = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            floor: Arc::clone(floor),
            part: Mutex::new(part),
        });
        *slot.lock().unwrap() = Some(Arc::clone(&engine));
        engine.beat();
    }

    /// Writes the worker's entry.
    fn beat(&self) {
        let (stage, seq) = {
            let part = self.part.lock().unwrap();
            (part.stage.clone(), part.seq)
        };
        let spec = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":64,\
             \"state\":\"ready\",\"cold_left_ms\":0,\"stage\":\"{stage}\",\"models\":[{{\"name\":\"m\",\
             \"version\":1,\"adapters\":[]}}],\"seq\":{seq}}}",
            self.service, self.address, self.zone
        );
        self.floor.store.put("servers", &self.id, &spec);
    }

    fn connection(self: &Arc<Self>, mut wire: Wire) {
        while let Some(request) = wire.message() {
            let is_other = request.header("x-expect-instance").is_some_and(|id| id != self.id);
            let goes_on = if is_other {
                wire.answer(421, &[("X-Instance-Id", &self.id)], b"")
            } else {
                self.answer(&mut wire, &request)
            };
            if !goes_on {
                return;
            }
        }
    }

    fn answer(self: &Arc<Self>, wire: &mut Wire, request: &Message) -> bool {
        let json = [("Content-Type", "application/json")];
        match (request.method(), request.target()) {
            ("GET", "/tealcleat/report") => {
                let body = {
                    let part = self.part.lock().unwrap();
                    format!(
                        "{{\"stage\":\"{}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
                         \"busy\":{},\"seq\":{},\"waiting\":0,\"running\":{},\"kv_used\":{},\
                         \"kv_total\":{KV_TOKENS},\"handles\":0}}",
                        part.stage, part.busy, part.seq, part.running, part.used
                    )
                };
                wire.answer(200, &json, body.as_bytes())
            }
            ("GET", "/healthz") => wire.answer(200, &[("X-Instance-Id", &self.id)], b""),
            ("POST", "/tealcleat/hold-take") => {
                let has_room = {
                    let part = self.part.lock().unwrap();
                    part.stage == "decode" && !part.busy && part.used + 2_000 < KV_TOKENS
                };
                if !has_room {
                    return wire.answer(503, &[], b"");
                }
                let body = format!("{{\"hold\":\"{}\"}}", self.floor.name());
                wire.answer(200, &json, body.as_bytes())
            }
            ("POST", "/tealcleat/order") => self.order(wire, request),
            ("DELETE", _) => wire.answer(200, &[], b""),
            _ if request.header("x-stage") == Some("prefill") => self.read(wire, request),
            _ => self.run(wire, request),
        }
    }

    fn order(self: &Arc<Self>, wire: &mut Wire, request: &Message) -> bool {
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let expected = body.get("expected_count").number();
        let to = body.get("stage").text().to_owned();
        let mut order = Order {
            at_ms: since(self.floor.begun),
            worker: self.id.clone(),
            holder: body.get("holder").text().to_owned(),
            fence: body.get("fence").number().unwrap_or(0),
            outcome: String::new(),
        };
        if self.floor.applies_late.swap(false, Ordering::Relaxed) {
            order.outcome = "left unanswered".to_owned();
            self.floor.orders.lock().unwrap().push(order);
            let engine = Arc::clone(self);
            std::thread::spawn(move || {
                std::thread::sleep(LATE_TIME);
                engine.take(expected, &to);
            });
            wire.fall_silent();
            return false;
        }
        let status = self.take(expected, &to);
        order.outcome = format!("answered {status}");
        self.floor.orders.lock().unwrap().push(order);
        wire.answer(status, &[], b"")
    }

    fn take(self: &Arc<Self>, expected: Option<u64>, to: &str) -> u16 {
        {
            let mut part = self.part.lock().unwrap();
            if part.busy || expected.is_some_and(|count| count != part.seq) {
                return 409;
            }
            if part.stage == to {
                return 200;
            }
            part.seq += 1;
            part.busy = true;
        }
        self.beat();
        let (engine, to) = (Arc::clone(self), to.to_owned());
        std::thread::spawn(move || {
            std::thread::sleep(SWITCH_TIME);
            {
                let mut part = engine.part.lock().unwrap();
                part.stage = to;
                part.busy = false;
            }
            engine.beat();
        });
        202
    }

    fn read(&self, wire: &mut Wire, request: &Message) -> bool {
        let id = request.header("x-request-id").unwrap_or("").to_owned();
        let is_prefill = {
            let part = self.part.lock().unwrap();
            part.stage == "prefill" && !part.busy
        };
        if !is_prefill {
            return wire.answer(503, &[("X-Request-Id", &id), ("X-Not-Run", "1")], b"");
        }
        let (prompt, _) = token_counts(request);
        std::thread::sleep(Duration::from_millis(prompt / READ_TOKENS_PER_MS));
        let name = self.floor.name();
        self.floor.handles.lock().unwrap().insert((self.address, name.clone()));
        let body = format!("{{\"kv_handle\":\"{name}\",\"tokens\":{prompt},\"version\":1}}");
        let headers = [("X-Request-Id", id.as_str()), ("Content-Type", "application/json")];
        wire.answer(200, &headers, body.as_bytes())
    }

    fn run(&self, wire: &mut Wire, request: &Message) -> bool {
        let id = request.header("x-request-id").unwrap_or("").to_owned();
        let (prompt, output) = token_counts(request);
        let has_room = {
            let mut part = self.part.lock().unwrap();
            let fits = part.used + prompt + output <= KV_TOKENS;
            let has_room = part.stage == "decode" && !part.busy && fits;
            if has_room {
                part.used += prompt + output;
                part.running += 1;
            }
            has_room
        };
        if !has_room {
            return wire.answer(503, &[("X-Request-Id", &id), ("X-Not-Run", "1")], b"");
        }
        let goes_on = self.stream(wire, request, &id, prompt, output);
        let mut part = self.part.lock().unwrap();
        part.used -= prompt + output;
        part.running -= 1;
        goes_on
    }

    fn stream(
        &self,
        wire: &mut Wire,
        request: &Message,
        id: &str,
        prompt: u64,
        output: u64,
    ) -> bool {
        match request.header("kv-from").and_then(|from| from.split_once('/')) {
            Some((address, handle)) => {
                let key = (address.parse().unwrap_or(self.address), handle.to_owned());
                if !self.floor.handles.lock().unwrap().remove(&key) {
                    return wire.answer(503, &[("X-Request-Id", id), ("X-Not-Run", "1")], b"");
                }
            }
            None => std::thread::sleep(Duration::from_millis(2 * prompt / READ_TOKENS_PER_MS)),
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
             X-Request-Id: {id}\r\nX-Server-Stamp: stamp-{id}\r\n\r\n"
        );
        if !wire.send(head.as_bytes()) {
            return false;
        }
        for number in 0..output.div_ceil(STRIDE) {
            std::thread::sleep(TOKEN_TIME * STRIDE as u32);
            let event = format!("id: {number}\ndata: {id}-{number}\n\n");
            if !wire.send(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()) {
                return false;
            }
        }
        wire.send(b"0\r\n\r\n")
    }
}

fn token_counts(request: &Message) -> (u64, u64) {
    let text = request.header("x-token-count").unwrap_or("");
    let (prompt, output) = text.split_once(',').unwrap_or(("0", "0"));
    (prompt.trim().parse().unwrap_or(0), output.trim().parse().unwrap_or(0))
}
