//! Polls the servers whose books are kept here.

use super::host_state::{HostState, lock};
use crate::engines::{CacheEvent, EngineLoad};
use crate::intents::ServerSpec;
use crate::keys::{AttemptId, IncarnationId, ServerKey, TimePoint};
use crate::membership::MemberState;
use crate::orders::ServerView;
use crate::peers::{PeerReply, PeerRequest};
use crate::placement::{LoadReport, ServerReport, SlotClaim};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

const POLL_PERIOD: Duration = Duration::from_millis(300);
pub(super) const CLAIMS_LIMIT: Duration = Duration::from_millis(150);

/// Polls every server, as a balancer without books does; only for the baselines.
pub(super) async fn run_report_polls(host: Arc<HostState>) {
    loop {
        for server in &host.config().servers {
            let (host, server) = (Arc::clone(&host), server.clone());
            tokio::spawn(async move {
                if let Ok(load) = host.engines.load(server.address, u64::MAX).await {
                    note_load(&host, server.key(), &load);
                }
            });
        }
        tokio::time::sleep(POLL_PERIOD).await;
    }
}

/// Polls one server for as long as this ownership lasts.
pub(super) async fn poll_while_owned(host: Arc<HostState>, key: ServerKey, term: u64) {
    loop {
        let Some((spec, cache_next)) = lock(&host.owned)
            .get(&key)
            .filter(|server| server.term == term)
            .map(|server| (server.book.spec().clone(), server.cache_next))
        else {
            return;
        };
        let asked_at = host.now();
        match host.engines.load(spec.address, cache_next).await {
            Ok(load) => take_in(&host, key, &spec, asked_at, load).await,
            Err(_) => {
                let now = host.now();
                if let Some(server) = lock(&host.owned).get_mut(&key) {
                    server.book.record_unresponsive(now);
                }
            }
        }
        tokio::time::sleep(POLL_PERIOD).await;
    }
}

async fn take_in(
    host: &Arc<HostState>,
    key: ServerKey,
    spec: &ServerSpec,
    asked_at: TimePoint,
    load: EngineLoad,
) {
    note_load(host, key, &load);
    let now = host.now();
    let facts = load_facts(asked_at, &load);
    let view = facts.view.clone();
    let strays = {
        let mut owned = lock(&host.owned);
        let Some(server) = owned.get_mut(&key) else {
            return;
        };
        let strays = server.book.record_report(now, facts);
        server.sweep.update_untracked(now, &strays);
        if load.cache.gap {
            server.book.prefix.clear();
        }
        for event in &load.cache.events {
            match event {
                CacheEvent::Stored(blocks) => server.book.prefix.record_stored(blocks),
                CacheEvent::Evicted(blocks) => server.book.prefix.record_evicted(blocks),
            }
        }
        server.cache_next = load.cache.next;
        server.sweep.attempts_to_query()
    };
    settle_strays(host, key, strays).await;
    cancel_orphans(host, key, spec).await;
    send_order(host, spec, &view).await;
}

fn load_facts(asked_at: TimePoint, load: &EngineLoad) -> ServerReport {
    ServerReport {
        as_of: asked_at - Duration::from_millis(load.age_ms),
        view: ServerView {
            role: load.role,
            models: load.models.clone(),
            draining: load.draining,
            held: load.held.len(),
        },
        held: load.held.iter().filter_map(|attempt| attempt.parse().ok()).collect(),
        capacity: load.capacity,
        backlog: Duration::from_millis(load.backlog_ms),
        step: (load.step_micros > 0).then(|| Duration::from_micros(load.step_micros)),
    }
}

fn note_load(host: &HostState, key: ServerKey, load: &EngineLoad) {
    let report = LoadReport {
        backlog: Duration::from_millis(load.backlog_ms),
        requests: u32::try_from(load.held.len()).unwrap_or(u32::MAX),
        capacity: load.capacity,
        received_at: host.now(),
    };
    lock(&host.reports).record_report(key, report);
}

/// Asks the hosts of unknown attempts whether they still work for them.
async fn settle_strays(host: &Arc<HostState>, key: ServerKey, strays: Vec<AttemptId>) {
    let mut by_owner: HashMap<IncarnationId, Vec<AttemptId>> = HashMap::new();
    for attempt in strays {
        by_owner.entry(attempt.owner).or_default().push(attempt);
    }
    for (incarnation, attempts) in by_owner {
        let held = if incarnation == host.incarnation {
            Some(host.still_held(&attempts))
        } else {
            ask_still_held(host, incarnation, &attempts).await
        };
        let now = host.now();
        let mut owned = lock(&host.owned);
        let Some(server) = owned.get_mut(&key) else {
            return;
        };
        for attempt in attempts {
            match &held {
                Some(held) if held.contains(&attempt) => {
                    server.sweep.record_claimed(attempt);
                    server.book.slots.confirm(now, attempt, CLAIMED_TOKENS);
                }
                Some(_) => server.sweep.mark_disowned(attempt),
                None => server.sweep.record_unreachable(now, attempt),
            }
        }
    }
}

/// Output tokens assumed of a claimed attempt whose allowance is not told.
const CLAIMED_TOKENS: u32 = 64;

/// What the host says, nothing if it cannot be asked, or an empty list if it is dead.
async fn ask_still_held(
    host: &Arc<HostState>,
    incarnation: IncarnationId,
    attempts: &[AttemptId],
) -> Option<Vec<AttemptId>> {
    let record = lock(&host.members).record(incarnation).copied()?;
    if record.update.state == MemberState::Dead {
        return Some(Vec::new());
    }
    let request = PeerRequest::StillHeld(attempts.to_vec());
    match host.call_peer(record.update, &request, CLAIMS_LIMIT).await {
        Ok(PeerReply::StillHeld(held)) => Some(held),
        _ => None,
    }
}

async fn cancel_orphans(host: &Arc<HostState>, key: ServerKey, spec: &ServerSpec) {
    let due = {
        let now = host.now();
        let mut owned = lock(&host.owned);
        owned
            .get_mut(&key)
            .map(|server| server.sweep.take_due_cancellations(now))
            .unwrap_or_default()
    };
    for attempt in due {
        let cancelled = host.engines.cancel(spec.address, attempt.to_string()).await;
        log::info!(
            "event=orphan_cancelled server={} attempt={attempt} confirmed={}",
            spec.name,
            cancelled.is_ok()
        );
        host.metrics().add("orphans_cancelled", 1);
    }
}

async fn send_order(host: &Arc<HostState>, spec: &ServerSpec, view: &ServerView) {
    // Baselines never drain or reload: their bench orders nothing.
    let order = |now| lock(&host.desk).next_order(now, &host.config(), spec, view);
    if !spec.checks_fence && order(host.now()).is_none() {
        let config = host.config();
        let checking = ServerSpec { checks_fence: true, ..spec.clone() };
        let due = lock(&host.desk).next_order(host.now(), &config, &checking, view).is_some();
        // Only a fresh look at the store allows an order to a server that checks no fence.
        if !due || host.read_config().await.is_err() {
            return;
        }
    }
    let Some(order) = order(host.now()) else {
        return;
    };
    let result = host.engines.order(spec.address, &order).await;
    log::info!(
        "event=order_sent server={} fence={} role={} draining={} obeyed={}",
        spec.name,
        order.fence,
        order.role.name(),
        order.draining,
        result.is_ok()
    );
}

impl HostState {
    /// What attempts of this host claim on a server.
    pub(super) fn claims_on(&self, key: ServerKey) -> Vec<SlotClaim> {
        lock(&self.attempts)
            .values()
            .filter(|stay| stay.decode == Some(key))
            .map(|stay| stay.claim)
            .collect()
    }

    /// Those of `attempts` that this host still works for.
    pub(super) fn still_held(&self, attempts: &[AttemptId]) -> Vec<AttemptId> {
        let known = lock(&self.attempts);
        attempts.iter().copied().filter(|attempt| known.contains_key(attempt)).collect()
    }
}
