use serde_json::{Value, json};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Lives of what an engine keeps for others, as on the users' sites.
const HOLD_LIFE: Duration = Duration::from_millis(2000);
const HANDLE_LIFE: Duration = Duration::from_millis(500);

/// What a stand-in engine keeps and counts; it loses that when it starts again.
#[derive(Debug, Default)]
pub(super) struct EngineMemory {
    /// Holds and when they lapse.
    holds: HashMap<String, Instant>,
    /// Results of prefills: the request, and when they lapse.
    handles: HashMap<String, (String, Instant)>,
    /// Orders that it took: who gave them, under which fence.
    orders: Vec<(String, u64)>,
    /// Those that its former lives took, for tests only.
    former_orders: Vec<(String, u64)>,
}

impl EngineMemory {
    /// The engine starts again.
    pub fn restart(&mut self) {
        self.holds.clear();
        self.handles.clear();
        self.former_orders.append(&mut self.orders);
    }

    /// Grants a hold.
    pub fn add_hold(&mut self, hold: &str) {
        self.holds.insert(hold.to_owned(), Instant::now() + HOLD_LIFE);
    }

    /// A hold is used or given back; false if there is none of that name.
    pub fn drop_hold(&mut self, hold: &str) -> bool {
        self.holds.remove(hold).is_some()
    }

    /// Holds that were granted and neither used nor given back, and have not lapsed.
    pub fn open_holds(&self) -> usize {
        let now = Instant::now();
        self.holds.values().filter(|lapses| now < **lapses).count()
    }

    /// Keeps the result of a request's prefill.
    pub fn add_handle(&mut self, handle: &str, request: &str) {
        let lapses = Instant::now() + HANDLE_LIFE;
        self.handles.insert(handle.to_owned(), (request.to_owned(), lapses));
    }

    /// Gives the result of a prefill away, and tells whose it is; `None` if it is gone.
    pub fn take_handle(&mut self, handle: &str) -> Option<String> {
        let (request, lapses) = self.handles.remove(handle)?;
        (Instant::now() < lapses).then_some(request)
    }

    /// Results of prefills that were neither fetched nor given back, and have not lapsed.
    pub fn open_handles(&self) -> usize {
        let now = Instant::now();
        self.handles.values().filter(|(_, lapses)| now < *lapses).count()
    }

    /// Takes an order, unless one with a higher fence was taken before.
    pub fn take_order(&mut self, holder: &str, fence: u64) -> bool {
        if self.orders.iter().any(|(_, seen)| *seen > fence) {
            return false;
        }
        self.orders.push((holder.to_owned(), fence));
        true
    }

    /// Orders that it took in all of its lives, oldest first.
    pub fn all_orders(&self) -> Vec<(String, u64)> {
        [self.former_orders.as_slice(), self.orders.as_slice()].concat()
    }

    /// What the engine says of itself.
    pub fn report(&self, stage: &str, born: Option<u64>) -> Value {
        let mut report = json!({"stage": stage, "models": [], "busy": false,
            "seq": self.orders.len(), "waiting": 0, "running": self.holds.len(), "kv_used": 0,
            "kv_total": 1000, "handles": 0});
        if let Some(born) = born {
            report["born"] = json!(born);
        }
        report
    }
}
