//! Polls the servers that this host owns.

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
pub(super) const CLAIMS_TIMEOUT: Duration = Duration::from_millis(150);

/// Polls every server, as a balancer without ledgers does; only the baseline policies use it.
pub(super) async fn run_report_polls(host: Arc<HostState>) {
    loop {
        for server in &host.config().servers {
            let (host, server) = (Arc::clone(&host), server.clone());
            tokio::spawn(async move {
                if let Ok(load) = host.engines.load(server.address, u64::MAX).await {
                    record_load(&host, server.key(), &load);
                }
            });
        }
        tokio::time::sleep(POLL_PERIOD).await;
    }
}

/// Polls one server for as long as the ownership of the given term lasts.
pub(super) async fn poll_while_owned(host: Arc<HostState>, key: ServerKey, term: u64) {
    loop {
        let Some((spec, next_cache_event)) = lock(&host.owned)
            .get(&key)
            .filter(|server| server.term == term)
            .map(|server| (server.ledger.spec().clone(), server.next_cache_event))
        else {
            return;
        };
        let requested_at = host.now();
        match host.engines.load(spec.address, next_cache_event).await {
            Ok(load) => apply_load(&host, key, &spec, requested_at, load).await,
            Err(_) => {
                let now = host.now();
                if let Some(server) = lock(&host.owned).get_mut(&key) {
                    server.ledger.record_unresponsive(now);
                }
            }
        }
        tokio::time::sleep(POLL_PERIOD).await;
    }
}

/// Applies a polled load to the server's ledger, then settles untracked attempts and sends orders.
async fn apply_load(
    host: &Arc<HostState>,
    key: ServerKey,
    spec: &ServerSpec,
    requested_at: TimePoint,
    load: EngineLoad,
) {
    record_load(host, key, &load);
    let now = host.now();
    let report = server_report(requested_at, &load);
    let view = report.view.clone();
    let untracked = {
        let mut owned = lock(&host.owned);
        let Some(server) = owned.get_mut(&key) else {
            return;
        };
        let untracked = server.ledger.record_report(now, report);
        server.orphans.update_untracked(now, &untracked);
        if load.cache.gap {
            server.ledger.prefix.clear();
        }
        for event in &load.cache.events {
            match event {
                CacheEvent::Stored(blocks) => server.ledger.prefix.record_stored(blocks),
                CacheEvent::Evicted(blocks) => server.ledger.prefix.record_evicted(blocks),
            }
        }
        server.next_cache_event = load.cache.next;
        server.orphans.attempts_to_query()
    };
    resolve_untracked(host, key, untracked).await;
    cancel_orphans(host, key, spec).await;
    send_order(host, spec, &view).await;
}

fn server_report(requested_at: TimePoint, load: &EngineLoad) -> ServerReport {
    ServerReport {
        as_of: requested_at - Duration::from_millis(load.age_ms),
        view: ServerView {
            role: load.role,
            models: load.models.clone(),
            draining: load.draining,
            held_count: load.held.len(),
        },
        held: load.held.iter().filter_map(|attempt| attempt.parse().ok()).collect(),
        capacity: load.capacity,
        backlog: Duration::from_millis(load.backlog_ms),
        step: (load.step_micros > 0).then(|| Duration::from_micros(load.step_micros)),
    }
}

fn record_load(host: &HostState, key: ServerKey, load: &EngineLoad) {
    let report = LoadReport {
        backlog: Duration::from_millis(load.backlog_ms),
        requests: u32::try_from(load.held.len()).unwrap_or(u32::MAX),
        capacity: load.capacity,
        received_at: host.now(),
    };
    lock(&host.reports).record_report(key, report);
}

/// Asks the hosts of untracked attempts whether they still work on them.
async fn resolve_untracked(host: &Arc<HostState>, key: ServerKey, untracked: Vec<AttemptId>) {
    let mut by_owner: HashMap<IncarnationId, Vec<AttemptId>> = HashMap::new();
    for attempt in untracked {
        by_owner.entry(attempt.owner).or_default().push(attempt);
    }
    for (incarnation, attempts) in by_owner {
        let held = if incarnation == host.incarnation {
            Some(host.still_held(&attempts))
        } else {
            query_still_held(host, incarnation, &attempts).await
        };
        let now = host.now();
        let mut owned = lock(&host.owned);
        let Some(server) = owned.get_mut(&key) else {
            return;
        };
        for attempt in attempts {
            match &held {
                Some(held) if held.contains(&attempt) => {
                    server.orphans.record_claimed(attempt);
                    server.ledger.slots.confirm(now, attempt, DEFAULT_CLAIM_TOKENS);
                }
                Some(_) => server.orphans.mark_disowned(attempt),
                None => server.orphans.record_unreachable(now, attempt),
            }
        }
    }
}

/// Output tokens assumed for a claimed attempt, since the reply does not state its limit.
const DEFAULT_CLAIM_TOKENS: u32 = 64;

/// Attempts that a host still holds: an empty list if the host is dead, `None` if it cannot be
/// reached.
async fn query_still_held(
    host: &Arc<HostState>,
    incarnation: IncarnationId,
    attempts: &[AttemptId],
) -> Option<Vec<AttemptId>> {
    let record = lock(&host.members).record(incarnation).copied()?;
    if record.update.state == MemberState::Dead {
        return Some(Vec::new());
    }
    let request = PeerRequest::StillHeld(attempts.to_vec());
    match host.call_peer(record.update, &request, CLAIMS_TIMEOUT).await {
        Ok(PeerReply::StillHeld(held)) => Some(held),
        _ => None,
    }
}

/// Cancels attempts on the engine that have had no owner for long enough.
async fn cancel_orphans(host: &Arc<HostState>, key: ServerKey, spec: &ServerSpec) {
    let due = {
        let now = host.now();
        let mut owned = lock(&host.owned);
        owned
            .get_mut(&key)
            .map(|server| server.orphans.take_due_cancellations(now))
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
    // Under the baseline policies no order is ever due: their bench never drains or reloads a
    // server.
    let next_order = |now| lock(&host.order_planner).next_order(now, &host.config(), spec, view);
    if !spec.checks_fence && next_order(host.now()).is_none() {
        let config = host.config();
        let checking = ServerSpec { checks_fence: true, ..spec.clone() };
        let due =
            lock(&host.order_planner).next_order(host.now(), &config, &checking, view).is_some();
        // A server that checks no fence may only be sent an order after a fresh read of the store.
        if !due || host.read_config().await.is_err() {
            return;
        }
    }
    let Some(order) = next_order(host.now()) else {
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
    /// Slots that attempts of this host claim on a server.
    pub(super) fn claims_on(&self, key: ServerKey) -> Vec<SlotClaim> {
        lock(&self.attempts)
            .values()
            .filter(|state| state.decode == Some(key))
            .map(|state| state.claim)
            .collect()
    }

    /// Those of `attempts` that this host still works on.
    pub(super) fn still_held(&self, attempts: &[AttemptId]) -> Vec<AttemptId> {
        let held = lock(&self.attempts);
        attempts.iter().copied().filter(|attempt| held.contains_key(attempt)).collect()
    }
}
