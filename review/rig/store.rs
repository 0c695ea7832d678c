//! The platform's store, as PROTOCOL.md describes it.

use crate::util::{serve, Json, Message, Wire};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Time of an answer, as on the sheets.
const ANSWER_TIME: Duration = Duration::from_millis(4);
const PAGE_ITEMS: usize = 50;
const OBJECTS: &str = "/tealcleat/objects/";

#[derive(Debug, Clone)]
struct Object {
    revision: u64,
    made: u64,
    spec: String,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    /// Revision, kind and text of each event.
    events: Vec<(u64, String, String)>,
}

/// Told of each write that is done, with kind, new spec and former spec; returns true if its answer is lost.
type WriteHook = Box<dyn Fn(&str, &Json, &Json) -> bool + Send + Sync>;

#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    pub on_write: Mutex<Option<WriteHook>>,
}

fn object_text(name: &str, object: &Object) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{},\"made\":{},\"finalizers\":[],\
         \"deleting\":false}},\"spec\":{},\"status\":null}}",
        object.revision, object.made, object.spec
    )
}

impl Store {
    pub fn start() -> (Arc<Self>, SocketAddr) {
        let store = Arc::new(Self::default());
        let serving = Arc::clone(&store);
        let address = serve(move |wire| serving.connection(wire));
        (store, address)
    }

    /// Writes an object as a worker, the operator or the system; a write that changes nothing is no event.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let mut state = self.state.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        if state.objects.get(&key).is_some_and(|object| object.spec == spec) {
            return;
        }
        state.revision += 1;
        let revision = state.revision;
        let made = state.objects.get(&key).map_or(revision, |object| object.made);
        let object = Object { revision, made, spec: spec.to_owned() };
        let text = format!("{{\"gone\":false,\"object\":{}}}", object_text(name, &object));
        state.events.push((revision, kind.to_owned(), text));
        state.objects.insert(key, object);
        self.changed.notify_all();
    }

    fn connection(&self, mut wire: Wire) {
        while let Some(request) = wire.message() {
            std::thread::sleep(ANSWER_TIME);
            if !self.answer(&mut wire, &request) {
                return;
            }
        }
    }

    fn answer(&self, wire: &mut Wire, request: &Message) -> bool {
        let Some(path) = request.target().strip_prefix(OBJECTS) else {
            return wire.answer(404, &[], b"{}");
        };
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let query: BTreeMap<&str, &str> =
            query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        if request.method() != "GET" {
            return self.write(wire, request, path);
        }
        if let Some((kind, name)) = path.split_once('/') {
            let key = (kind.to_owned(), name.to_owned());
            let found = self.state.lock().unwrap().objects.get(&key).cloned();
            return match found {
                Some(object) => wire.answer(200, &[], object_text(name, &object).as_bytes()),
                None => wire.answer(404, &[], b"{}"),
            };
        }
        let body = match query.get("watch").and_then(|text| text.parse().ok()) {
            Some(after) => {
                let wait = query.get("wait_ms").and_then(|text| text.parse().ok()).unwrap_or(0);
                self.watch(path, after, Duration::from_millis(wait))
            }
            None => self.page(path, query.get("after").unwrap_or(&"")),
        };
        wire.answer(200, &[], body.as_bytes())
    }

    fn page(&self, kind: &str, after: &str) -> String {
        let state = self.state.lock().unwrap();
        let of_kind =
            state.objects.iter().filter(|((of, name), _)| of == kind && name.as_str() > after);
        let all: Vec<String> =
            of_kind.map(|((_, name), object)| object_text(name, object)).collect();
        let more = all.len() > PAGE_ITEMS;
        let items: Vec<String> = all.into_iter().take(PAGE_ITEMS).collect();
        format!("{{\"items\":[{}],\"more\":{more},\"at\":{}}}", items.join(","), state.revision)
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> String {
        let until = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            let events: Vec<&str> = state
                .events
                .iter()
                .filter(|(revision, of, _)| *revision > after && of == kind)
                .map(|(_, _, text)| text.as_str())
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return format!("{{\"events\":[{}],\"at\":{}}}", events.join(","), state.revision);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn write(&self, wire: &mut Wire, request: &Message, path: &str) -> bool {
        let body = Json::parse(&String::from_utf8_lossy(&request.body));
        let Some(body) = body else { return wire.answer(400, &[], b"{}") };
        let (kind, name) = match path.split_once('/') {
            Some((kind, name)) => (kind.to_owned(), name.to_owned()),
            None => (path.to_owned(), body.get("metadata").get("name").text().to_owned()),
        };
        let key = (kind.clone(), name.clone());
        let known = self.state.lock().unwrap().objects.get(&key).cloned();
        let expected = body.get("metadata").get("revision").number();
        let is_create = request.method() == "POST";
        match &known {
            Some(object) if is_create || expected.is_some_and(|at| at != object.revision) => {
                return wire.answer(409, &[], object_text(&name, object).as_bytes());
            }
            None if !is_create => return wire.answer(404, &[], b"{}"),
            _ => {}
        }
        let spec = body.get("spec");
        self.put(&kind, &name, &spec.encode());
        let before = known.and_then(|object| Json::parse(&object.spec)).unwrap_or(Json::Null);
        let is_lost =
            self.on_write.lock().unwrap().as_ref().is_some_and(|hook| hook(&kind, spec, &before));
        if is_lost {
            wire.fall_silent();
            return false;
        }
        let object = self.state.lock().unwrap().objects.get(&key).cloned();
        let text = object.map(|object| object_text(&name, &object)).unwrap_or_default();
        wire.answer(200, &[], text.as_bytes())
    }
}
