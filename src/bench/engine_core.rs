use super::fault_switch::FaultSwitch;
use super::held_attempt::HeldAttempt;
use super::kv_store::KvStore;
use super::weight_store::WeightStore;
use super::{EnginePlan, EngineTiming};
use crate::engines::{CacheEvent, CacheEvents, EngineLoad};
use crate::intents::ServerRole;
use crate::orders::ServerOrder;
use crate::placement::PrefixIndex;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::{Mutex as FairMutex, Semaphore};

/// Reports are at least this old when they are sent.
const REPORT_LAG: Duration = Duration::from_millis(400);
const SNAPSHOT_PERIOD: Duration = Duration::from_millis(100);
const CACHE_BLOCKS: usize = 1024;
const KEPT_EVENTS: usize = 400;

#[derive(Debug, Clone)]
struct Snapshot {
    at: Instant,
    load: EngineLoad,
    event_count: u64,
}

/// The state of one engine.
#[derive(Debug)]
pub struct EngineCore {
    /// How it was planned.
    pub plan: EnginePlan,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its cost model.
    pub timing: EngineTiming,
    /// Its faults.
    pub faults: FaultSwitch,
    /// One prefill at a time, in the order of arrival.
    pub lane: FairMutex<()>,
    /// One transfer at a time.
    pub link: FairMutex<()>,
    /// Decode slots, granted in the order of arrival.
    pub slots: Arc<Semaphore>,
    /// All prefill results of the process.
    pub results: Arc<KvStore>,
    /// Where models' weights come from.
    pub weights: Arc<WeightStore>,
    /// Requests that decode now.
    pub active: AtomicU64,
    /// Time for which decode slots were taken, in microseconds.
    pub slot_micros: AtomicU64,
    backlog_micros: AtomicU64,
    handles: AtomicU64,
    held: Mutex<HashMap<String, Arc<HeldAttempt>>>,
    order: Mutex<ServerOrder>,
    cache: Mutex<PrefixIndex>,
    events: Mutex<VecDeque<CacheEvent>>,
    event_count: AtomicU64,
    snapshots: Mutex<VecDeque<Snapshot>>,
    prefill_log: Mutex<Vec<(String, u64)>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl EngineCore {
    /// An engine as planned.
    pub fn new(
        plan: EnginePlan,
        address: SocketAddr,
        results: Arc<KvStore>,
        weights: Arc<WeightStore>,
    ) -> Self {
        let order =
            ServerOrder { fence: 0, role: plan.role, models: plan.models.clone(), draining: false };
        Self {
            address,
            timing: EngineTiming::STANDARD,
            faults: FaultSwitch::default(),
            lane: FairMutex::new(()),
            link: FairMutex::new(()),
            slots: Arc::new(Semaphore::new(plan.slots as usize)),
            results,
            weights,
            active: AtomicU64::new(0),
            slot_micros: AtomicU64::new(0),
            backlog_micros: AtomicU64::new(0),
            handles: AtomicU64::new(1),
            held: Mutex::default(),
            order: Mutex::new(order),
            cache: Mutex::new(PrefixIndex::new(CACHE_BLOCKS)),
            events: Mutex::default(),
            event_count: AtomicU64::new(0),
            snapshots: Mutex::default(),
            prefill_log: Mutex::default(),
            plan,
        }
    }

    /// Holds an attempt.
    pub fn hold(&self, attempt: &str) -> Arc<HeldAttempt> {
        let held = Arc::new(HeldAttempt::default());
        lock(&self.held).insert(attempt.to_owned(), Arc::clone(&held));
        held
    }

    /// The held attempt.
    pub fn held(&self, attempt: &str) -> Option<Arc<HeldAttempt>> {
        lock(&self.held).get(attempt).cloned()
    }

    /// Lets an attempt go; true if it was held.
    pub fn let_go(&self, attempt: &str) -> bool {
        let held = lock(&self.held).remove(attempt);
        if let Some(held) = &held {
            held.cancelled.store(true, Ordering::Relaxed);
            held.changed.notify_waiters();
        }
        held.is_some()
    }

    /// Attempts held at this very moment.
    pub fn held_count(&self) -> usize {
        lock(&self.held).len()
    }

    /// Loses everything, as a crash does.
    pub fn crash(&self) {
        let all: Vec<String> = lock(&self.held).keys().cloned().collect();
        for attempt in all {
            self.let_go(&attempt);
        }
        lock(&self.cache).clear();
    }

    /// Present step time for the running batch.
    pub fn step(&self) -> Duration {
        let active = u32::try_from(self.active.load(Ordering::Relaxed)).unwrap_or(0);
        self.timing.step_base + self.timing.step_per_request * active
    }

    /// The number of a new prefill result.
    pub fn new_handle(&self) -> u64 {
        self.handles.fetch_add(1, Ordering::Relaxed)
    }

    /// Prompt tokens that must be computed, given the cache; stores the blocks.
    pub fn use_cache(&self, blocks: &[u64], tokens: u32) -> u32 {
        let mut cache = lock(&self.cache);
        let cached = cache.cached_tokens(blocks);
        cache.record_stored(blocks);
        drop(cache);
        let mut events = lock(&self.events);
        events.push_back(CacheEvent::Stored(blocks.to_vec()));
        if events.len() > KEPT_EVENTS {
            events.pop_front();
        }
        self.event_count.fetch_add(1, Ordering::Relaxed);
        tokens.saturating_sub(cached).max(1)
    }

    /// Adds queued prefill work, or takes it away.
    pub fn change_backlog(&self, micros: i64) {
        self.backlog_micros.fetch_add(micros as u64, Ordering::Relaxed);
    }

    /// Notes prefill work done for a caller's request.
    pub fn log_prefill(&self, request: &str, micros: u64) {
        lock(&self.prefill_log).push((request.to_owned(), micros));
    }

    /// All prefill work done, by request.
    pub fn prefill_log(&self) -> Vec<(String, u64)> {
        lock(&self.prefill_log).clone()
    }

    /// Its present role.
    pub fn role(&self) -> ServerRole {
        lock(&self.order).role
    }

    /// Whether it was ordered to refuse new work.
    pub fn is_draining(&self) -> bool {
        lock(&self.order).draining
    }

    /// Whether it holds a model, in any version.
    pub fn has_model(&self, name: &str) -> bool {
        let order = lock(&self.order);
        order.models.iter().any(|model| model.split('@').next() == Some(name))
    }

    /// Obeys an order unless a fence forbids it.
    ///
    /// # Errors
    /// What forbids it.
    pub async fn obey(&self, order: ServerOrder) -> Result<(), String> {
        let pulls = {
            let mut current = lock(&self.order);
            if self.plan.checks_fence && order.fence < current.fence {
                return Err(format!("fence {} is behind {}", order.fence, current.fence));
            }
            current.fence = order.fence;
            current.draining = order.draining;
            order.models.iter().filter(|model| !current.models.contains(model)).count()
        };
        for _ in 0..pulls {
            self.weights.pull(&self.timing).await;
        }
        let mut current = lock(&self.order);
        if current.fence == order.fence {
            current.role = order.role;
            current.models = order.models;
        }
        Ok(())
    }

    /// The lagged report, with cache events after `after`.
    pub fn report(&self, after: u64) -> EngineLoad {
        let snapshots = lock(&self.snapshots);
        let old = snapshots.iter().rev().find(|snapshot| snapshot.at.elapsed() >= REPORT_LAG);
        let Some(snapshot) = old.or(snapshots.front()).cloned() else {
            return self.load_now();
        };
        drop(snapshots);
        let mut load = snapshot.load;
        load.age_ms = snapshot.at.elapsed().as_millis() as u64;
        load.cache = self.events_between(after, snapshot.event_count);
        load
    }

    /// Takes snapshots until the process ends.
    pub async fn take_snapshots(self: Arc<Self>) {
        loop {
            {
                let event_count = self.event_count.load(Ordering::Relaxed);
                let snapshot = Snapshot { at: Instant::now(), load: self.load_now(), event_count };
                let mut snapshots = lock(&self.snapshots);
                snapshots.push_back(snapshot);
                if snapshots.len() > 10 {
                    snapshots.pop_front();
                }
            }
            tokio::time::sleep(SNAPSHOT_PERIOD).await;
        }
    }

    fn events_between(&self, after: u64, until: u64) -> CacheEvents {
        if after == u64::MAX {
            return CacheEvents { next: until, gap: false, events: Vec::new() };
        }
        let events = lock(&self.events);
        let total = self.event_count.load(Ordering::Relaxed);
        let first = total - events.len() as u64;
        let skip = after.saturating_sub(first) as usize;
        let count = until.saturating_sub(after.max(first)) as usize;
        let events = events.iter().skip(skip).take(count).cloned().collect();
        CacheEvents { next: until.max(after), gap: after < first, events }
    }

    fn load_now(&self) -> EngineLoad {
        let order = lock(&self.order).clone();
        let held: Vec<String> = lock(&self.held).keys().cloned().collect();
        let idle = self.active.load(Ordering::Relaxed) == 0;
        EngineLoad {
            age_ms: 0,
            role: order.role,
            models: order.models,
            draining: order.draining,
            fence: order.fence,
            held,
            capacity: self.plan.slots,
            backlog_ms: (self.backlog_micros.load(Ordering::Relaxed) as i64).max(0) as u64 / 1000,
            step_micros: if idle { 0 } else { self.step().as_micros() as u64 },
            cache: CacheEvents::default(),
        }
    }
}
