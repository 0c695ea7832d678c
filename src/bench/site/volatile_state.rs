use serde_json::{Value, json};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Lifetimes of holds and prefill results, as on the users' sites.
const HOLD_TTL: Duration = Duration::from_millis(2000);
const HANDLE_TTL: Duration = Duration::from_millis(500);

/// An order that a stand-in engine accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AcceptedOrder {
    /// Name of the host that gave it.
    pub holder: String,
    /// Its fencing token.
    pub fence: u64,
    /// When it arrived.
    pub at: Instant,
}

/// The state of a stand-in engine that a restart clears.
#[derive(Debug, Default)]
pub(super) struct VolatileState {
    /// Expiry time of each hold.
    holds: HashMap<String, Instant>,
    /// Prefill results by handle: the request id and the expiry time.
    handles: HashMap<String, (String, Instant)>,
    /// Accepted orders.
    orders: Vec<AcceptedOrder>,
    /// Orders that earlier incarnations accepted; for tests only.
    earlier_orders: Vec<AcceptedOrder>,
}

impl VolatileState {
    /// Clears the state, as a restart does.
    pub fn restart(&mut self) {
        self.holds.clear();
        self.handles.clear();
        self.earlier_orders.append(&mut self.orders);
    }

    /// Grants a hold.
    pub fn add_hold(&mut self, hold: &str) {
        self.holds.insert(hold.to_owned(), Instant::now() + HOLD_TTL);
    }

    /// Removes a hold that was used or released; false if there is no such hold.
    pub fn release_hold(&mut self, hold: &str) -> bool {
        self.holds.remove(hold).is_some()
    }

    /// Number of holds that were neither used nor released and have not expired.
    pub fn open_holds(&self) -> usize {
        let now = Instant::now();
        self.holds.values().filter(|expires_at| now < **expires_at).count()
    }

    /// Stores the prefill result of a request.
    pub fn add_handle(&mut self, handle: &str, request: &str) {
        let expires_at = Instant::now() + HANDLE_TTL;
        self.handles.insert(handle.to_owned(), (request.to_owned(), expires_at));
    }

    /// Removes a prefill result and returns the id of its request; `None` if the result is missing or has expired.
    pub fn take_handle(&mut self, handle: &str) -> Option<String> {
        let (request, expires_at) = self.handles.remove(handle)?;
        (Instant::now() < expires_at).then_some(request)
    }

    /// Number of prefill results that were neither fetched nor released and have not expired.
    pub fn open_handles(&self) -> usize {
        let now = Instant::now();
        self.handles.values().filter(|(_, expires_at)| now < *expires_at).count()
    }

    /// Accepts an order unless an order with a higher fence was accepted before.
    pub fn accept_order(&mut self, holder: &str, fence: u64) -> bool {
        if self.orders.iter().any(|order| order.fence > fence) {
            return false;
        }
        let (holder, at) = (holder.to_owned(), Instant::now());
        self.orders.push(AcceptedOrder { holder, fence, at });
        true
    }

    /// Orders that all incarnations accepted, oldest first.
    pub fn all_orders(&self) -> Vec<AcceptedOrder> {
        [self.earlier_orders.as_slice(), self.orders.as_slice()].concat()
    }

    /// The engine's report of its state.
    pub fn report(&self, stage: &str, started_at: Option<u64>) -> Value {
        let mut report = json!({"stage": stage, "models": [], "busy": false,
            "seq": self.orders.len(), "waiting": 0, "running": self.holds.len(), "kv_used": 0,
            "kv_total": 1000, "handles": 0});
        if let Some(started_at) = started_at {
            report["born"] = json!(started_at);
        }
        report
    }
}
