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

/// Minimum age of a load report when it is sent.
const REPORT_LAG: Duration = Duration::from_millis(400);
const SNAPSHOT_PERIOD: Duration = Duration::from_millis(100);
const CACHE_BLOCKS: usize = 1024;
const MAX_CACHE_EVENTS: usize = 400;

#[derive(Debug, Clone)]
struct Snapshot {
    taken_at: Instant,
    load: EngineLoad,
    event_count: u64,
}

/// State of one simulated engine.
#[derive(Debug)]
pub struct EngineCore {
    /// Plan that the engine was started from.
    pub plan: EnginePlan,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Cost model.
    pub timing: EngineTiming,
    /// Faults that are switched on.
    pub faults: FaultSwitch,
    /// Admits one prefill at a time, in the order of arrival.
    pub prefill_lane: FairMutex<()>,
    /// Admits one KV cache transfer at a time.
    pub transfer_link: FairMutex<()>,
    /// Decode slots, granted in the order of arrival.
    pub slots: Arc<Semaphore>,
    /// Prefill results of all engines in the process.
    pub results: Arc<KvStore>,
    /// Store that the engine pulls model weights from.
    pub weights: Arc<WeightStore>,
    /// Number of requests that are decoding now.
    pub active: AtomicU64,
    /// Total time for which decode slots were in use, in microseconds.
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
    /// Creates an engine from its plan.
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
            prefill_lane: FairMutex::new(()),
            transfer_link: FairMutex::new(()),
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

    /// Registers an attempt as held.
    pub fn hold(&self, attempt: &str) -> Arc<HeldAttempt> {
        let held = Arc::new(HeldAttempt::default());
        lock(&self.held).insert(attempt.to_owned(), Arc::clone(&held));
        held
    }

    /// Returns an attempt if it is held.
    pub fn held(&self, attempt: &str) -> Option<Arc<HeldAttempt>> {
        lock(&self.held).get(attempt).cloned()
    }

    /// Cancels and releases an attempt; returns whether it was held.
    pub fn release(&self, attempt: &str) -> bool {
        let held = lock(&self.held).remove(attempt);
        if let Some(held) = &held {
            held.cancelled.store(true, Ordering::Relaxed);
            held.changed.notify_waiters();
        }
        held.is_some()
    }

    /// Number of attempts held now.
    pub fn held_count(&self) -> usize {
        lock(&self.held).len()
    }

    /// Releases all attempts and clears the prefix cache, as a crash does.
    pub fn crash(&self) {
        let attempts: Vec<String> = lock(&self.held).keys().cloned().collect();
        for attempt in attempts {
            self.release(&attempt);
        }
        lock(&self.cache).clear();
    }

    /// Duration of a decode step with the requests that are decoding now.
    pub fn step_time(&self) -> Duration {
        let active = u32::try_from(self.active.load(Ordering::Relaxed)).unwrap_or(0);
        self.timing.step_base + self.timing.step_per_request * active
    }

    /// Returns a handle for a new prefill result.
    pub fn next_handle(&self) -> u64 {
        self.handles.fetch_add(1, Ordering::Relaxed)
    }

    /// Stores a prompt's blocks in the prefix cache; returns how many of its tokens were not cached
    /// and must be computed, at least one.
    pub fn cache_prompt(&self, blocks: &[u64], tokens: u32) -> u32 {
        let mut cache = lock(&self.cache);
        let cached = cache.cached_tokens(blocks);
        cache.record_stored(blocks);
        drop(cache);
        let mut events = lock(&self.events);
        events.push_back(CacheEvent::Stored(blocks.to_vec()));
        if events.len() > MAX_CACHE_EVENTS {
            events.pop_front();
        }
        self.event_count.fetch_add(1, Ordering::Relaxed);
        tokens.saturating_sub(cached).max(1)
    }

    /// Adds queued prefill work in microseconds; a negative number removes it.
    pub fn change_backlog(&self, micros: i64) {
        self.backlog_micros.fetch_add(micros as u64, Ordering::Relaxed);
    }

    /// Records prefill work done for a caller's request.
    pub fn record_prefill(&self, request: &str, micros: u64) {
        lock(&self.prefill_log).push((request.to_owned(), micros));
    }

    /// All recorded prefill work: request and microseconds.
    pub fn prefill_log(&self) -> Vec<(String, u64)> {
        lock(&self.prefill_log).clone()
    }

    /// Current role.
    pub fn role(&self) -> ServerRole {
        lock(&self.order).role
    }

    /// Whether an order told it to refuse new work.
    pub fn is_draining(&self) -> bool {
        lock(&self.order).draining
    }

    /// Whether it has loaded a model, in any version.
    pub fn has_model(&self, name: &str) -> bool {
        let order = lock(&self.order);
        order.models.iter().any(|model| model.split('@').next() == Some(name))
    }

    /// Applies an order, which may first pull the weights of new models.
    ///
    /// # Errors
    /// If the engine checks fences and the order's fence is lower than the current one.
    pub async fn apply_order(&self, order: ServerOrder) -> Result<(), String> {
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

    /// Returns the load as it was one report lag ago, with the cache events since event `after`.
    pub fn report(&self, after: u64) -> EngineLoad {
        let snapshots = lock(&self.snapshots);
        let old = snapshots.iter().rev().find(|snapshot| snapshot.taken_at.elapsed() >= REPORT_LAG);
        let Some(snapshot) = old.or(snapshots.front()).cloned() else {
            return self.current_load();
        };
        drop(snapshots);
        let mut load = snapshot.load;
        load.age_ms = snapshot.taken_at.elapsed().as_millis() as u64;
        load.cache = self.events_between(after, snapshot.event_count);
        load
    }

    /// Takes periodic snapshots of the load until the process ends.
    pub async fn take_snapshots(self: Arc<Self>) {
        loop {
            {
                let event_count = self.event_count.load(Ordering::Relaxed);
                let snapshot =
                    Snapshot { taken_at: Instant::now(), load: self.current_load(), event_count };
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

    fn current_load(&self) -> EngineLoad {
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
            step_micros: if idle { 0 } else { self.step_time().as_micros() as u64 },
            cache: CacheEvents::default(),
        }
    }
}
